package event_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/pkg/event"
)

// loggedLine is a line of the log with the fields that the tests check.
type loggedLine struct {
	Event int    `json:"event"`
	Of    int    `json:"of"`
	Name  string `json:"of_name"`
	Lines int    `json:"lines"`
}

func decodeLines(t *testing.T, data []byte) []loggedLine {
	t.Helper()
	var list []loggedLine
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var w loggedLine
		if err := decoder.Decode(&w); err != nil {
			t.Fatal(err)
		}
		list = append(list, w)
	}
	return list
}

// TestFloodOfOneEventIsBounded guards against a flood of refusals that fills the log or
// suppresses the lines of other events, and against suppressed lines that the log does
// not report.
func TestFloodOfOneEventIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := event.New(&out, "vm", zerolog.InfoLevel)
		const seconds, perSecond = 10, 5000
		for range seconds * 10 {
			for range perSecond / 10 {
				log.Log(event.RequestRefused).Str("request", "r").Send()
			}
			time.Sleep(100 * time.Millisecond)
		}
		log.Log(event.ConfigInForce).Send()
		log.LogSuppressed()
		log.LogSuppressed() // the second call reports nothing
		lines, missing, others := 0, 0, 0
		for _, w := range decodeLines(t, out.Bytes()) {
			switch {
			case w.Event == int(event.RequestRefused):
				lines++
			case w.Event == int(event.LinesSuppressed):
				is.Equal(w.Of, int(event.RequestRefused))
				is.Equal(w.Name, "request_refused")
				missing += w.Lines
			default:
				others++
			}
		}
		is.Equal(others, 1)
		is.True(lines <= 600+300*seconds) // lineBurst and linesPerSecond
		is.Equal(lines+missing, seconds*perSecond)
	})
}

// TestUsualRateIsNotSuppressed guards against suppressed lines at 100 lines a second, above
// the rate of a day with heavy load.
func TestUsualRateIsNotSuppressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := event.New(&out, "vm", zerolog.InfoLevel)
		for range 3000 {
			log.Log(event.RequestDone).Send()
			time.Sleep(10 * time.Millisecond)
		}
		log.LogSuppressed()
		is.Equal(len(decodeLines(t, out.Bytes())), 3000)
	})
}

// BenchmarkLine measures a line with common fields up to the Writer's buffer.
func BenchmarkLine(b *testing.B) {
	w := event.NewWriter(io.Discard)
	defer w.Close()
	log := event.New(w, "front-ost-a-1", zerolog.InfoLevel)
	for b.Loop() {
		for id := range event.All() { // each event has its own rate limit
			log.Log(id).Str("request", "9c41d07be2a35f68").Str("route", "r-2yhvz3p").Int("rank", 1).Str("team", "hule930").
				Int64("left_ms", 19999).Int("sends", 0).Uint64("config", 7).Int("vms", 4).Send()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(event.All())), "ns/line")
}
