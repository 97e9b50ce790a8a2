package logstory_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/logstory"
)

const first = `{"event":408,"name":"config_in_force","vm":"a","version":7,"time":"2026-01-01T00:00:00Z"}
{"event":703,"name":"upstream_changed","vm":"a","upstream":"i-1","reason":"listed","time":"2026-01-01T00:00:01Z"}
{"event":701,"name":"upstream_ejected","vm":"a","upstream":"i-2","reason":"silent","time":"2026-01-01T00:00:02Z"}
{"event":206,"name":"request_sent","vm":"a","request":"r1","chain":["i-1=0-8"],"time":"2026-01-01T00:00:03Z"}
{"event":206,"name":"request_sent","vm":"a","request":"r10","chain":["i-1=0-8"],"time":"2026-01-01T00:00:03Z"}
  12.3 collector {"event":210,"name":"stream_broken","vm":"a","request":"r1","cause":"chain makes no progress","time":"2026-01-01T00:00:05Z"}
{"event":701,"name":"upstream_ejec
not a log line`

const second = `{"event":202,"name":"request_refused","vm":"b","request":"r1","reason":"draining","time":"2026-01-01T00:00:04Z"}`

// TestStoryOfOneRequest guards against lines of two VMs' logs out of time order,
// lines of a request whose ID has the same prefix, and missing or unrelated beliefs.
func TestStoryOfOneRequest(t *testing.T) {
	is := is.New(t)
	s := logstory.Timeline{Request: "r1"}
	is.NoErr(s.Add(strings.NewReader(first), nil))
	is.NoErr(s.Add(strings.NewReader(second), nil))
	s.Sort()
	is.Equal(len(s.Lines), 3)
	is.Equal(s.Lines[0].Name, "request_sent")
	is.Equal(s.Lines[1].VM, "b")
	is.Equal(s.Lines[2].Name, "stream_broken")
	is.Equal(len(s.Lines[0].Beliefs), 2) // the configuration and i-1, not i-2
	is.Equal(s.Lines[0].Beliefs[1].Fields["reason"], "listed")
	is.Equal(s.Skipped, 2) // the truncated line and the one that is not a log line
	var out bytes.Buffer
	is.NoErr(s.WriteText(&out))
	is.True(strings.Contains(out.String(), "believed for 2s: upstream_changed"))
}

// TestStoryWithoutAnEnd guards against a VM that lost power, and so logged no end of
// the request, being left out of Unfinished or listed without its next start. It
// also guards against beliefs that survive the VM's restart.
func TestStoryWithoutAnEnd(t *testing.T) {
	is := is.New(t)
	log := first + "\n" + `{"event":101,"name":"started","vm":"a","time":"2026-01-01T00:00:09Z"}
{"event":206,"name":"request_sent","vm":"a","request":"r10","chain":["i-1=0-8"],"time":"2026-01-01T00:00:10Z"}`
	s := logstory.Timeline{Request: "r10"}
	is.NoErr(s.Add(strings.NewReader(log), nil))
	s.Sort()
	is.Equal(len(s.Unfinished), 1)
	is.True(s.Unfinished[0].Restart.IsZero()) // the request may be in flight in the second process
	is.Equal(len(s.Lines[1].Beliefs), 0)

	s = logstory.Timeline{Request: "r11"}
	is.NoErr(s.Add(strings.NewReader(strings.ReplaceAll(first, "r10", "r11")+"\n"+`{"event":101,"name":"started","vm":"a","time":"2026-01-01T00:00:09Z"}`), nil))
	s.Sort()
	var out bytes.Buffer
	is.NoErr(s.WriteText(&out))
	is.True(strings.Contains(out.String(), "killed or lost power and started again 6s after"))

	s = logstory.Timeline{Request: "r1"}
	is.NoErr(s.Add(strings.NewReader(first), nil))
	s.Sort()
	is.Equal(len(s.Unfinished), 0) // stream_broken ends a request
}

// TestUnknownRequest guards against empty output for a request that no log mentions.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	s := logstory.Timeline{Request: "other"}
	is.NoErr(s.Add(strings.NewReader(first), nil))
	var out bytes.Buffer
	is.NoErr(s.WriteText(&out))
	is.True(strings.Contains(out.String(), "no line about request other"))
}

// BenchmarkMillionLines reads a log of a million lines. The target is 5 s.
func BenchmarkMillionLines(b *testing.B) {
	var log bytes.Buffer
	for i := range 1_000_000 {
		fmt.Fprintf(&log, `{"level":"info","vm":"a","event":206,"name":"request_sent","request":"%016x","chain":["i-1=0-8","i-2=8-16"],"left_ms":19999,"time":"2026-01-01T00:00:03Z"}`+"\n", i)
	}
	for b.Loop() {
		s := logstory.Timeline{Request: "00000000000f423f"}
		if err := s.Add(bytes.NewReader(log.Bytes()), nil); err != nil || len(s.Lines) != 1 {
			b.Fatal(err, len(s.Lines))
		}
	}
}
