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

// written is one line as a reader of the log sees it.
type written struct {
	Event int    `json:"event"`
	Of    int    `json:"of"`
	Name  string `json:"of_name"`
	Lines int    `json:"lines"`
}

func read(t *testing.T, data []byte) []written {
	t.Helper()
	var list []written
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var w written
		if err := decoder.Decode(&w); err != nil {
			t.Fatal(err)
		}
		list = append(list, w)
	}
	return list
}

// TestFloodOfOneEventIsBounded: load pattern of a flood of refusals. The lines of the
// event are bounded, those of others still come, and the log says how many are missing.
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
		log.Suppressed()
		log.Suppressed() // says nothing twice
		lines, missing, others := 0, 0, 0
		for _, w := range read(t, out.Bytes()) {
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
		is.True(lines <= 600+300*seconds) // the stated burst and rate
		is.Equal(lines+missing, seconds*perSecond)
	})
}

// TestUsualRateIsWhole: nothing is held back at the rate of a heavy day.
func TestUsualRateIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := event.New(&out, "vm", zerolog.InfoLevel)
		for range 3000 {
			log.Log(event.RequestDone).Send()
			time.Sleep(10 * time.Millisecond)
		}
		log.Suppressed()
		is.Equal(len(read(t, out.Bytes())), 3000)
	})
}

// BenchmarkLine is the cost of a usual line on its way to the writer's buffer.
func BenchmarkLine(b *testing.B) {
	w := event.NewWriter(io.Discard)
	defer w.Close()
	log := event.New(w, "front-ost-a-1", zerolog.InfoLevel)
	for b.Loop() {
		for id := range event.All() { // each event has a rate of its own
			log.Log(id).Str("request", "9c41d07be2a35f68").Str("route", "r-2yhvz3p").Int("rank", 1).Str("team", "hule930").
				Int64("left_ms", 19999).Int("sends", 0).Uint64("config", 7).Int("vms", 4).Send()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(event.All())), "ns/line")
}
