package eventstream_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/eventstream"
)

// TestOnlyWholeEventsPass guards against events that are lost, repeated or altered
// when a read ends within an event. It cuts a stream at every byte.
func TestOnlyWholeEventsPass(t *testing.T) {
	is := is.New(t)
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nversions: 3\nid: 3\ndata: c\n\n"
	for cut := range len(stream) {
		var s eventstream.Splitter
		first, _, err := s.Feed([]byte(stream[:cut]))
		is.NoErr(err)
		out := string(first)
		rest, _, err := s.Feed([]byte(stream[cut:]))
		is.NoErr(err)
		out += string(rest)
		is.Equal(out, stream)
		is.Equal(s.LastID(), "3")
		is.True(!s.HasPartial())
	}
}

// TestAnotherRunContinues guards against a repeated or mixed event when a run breaks
// off within an event and the next run continues after the last whole event.
func TestAnotherRunContinues(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	whole, n, err := s.Feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	is.NoErr(err)
	is.Equal(n, 2)
	is.Equal(string(whole), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(s.HasPartial())
	s.DropPartial()
	is.Equal(s.LastID(), "2")
	is.Equal(s.Repeated(), 0)
	whole, n, err = s.Feed([]byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(s.Repeated(), 1)
	is.Equal(s.LastNumber(), uint64(3))
	is.Equal(string(whole), "id: 3\ndata: c\n\n")
}

// TestCallerContinues guards against sending events again that the caller already has.
func TestCallerContinues(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	s.ResumeAfter("7")
	whole, n, err := s.Feed([]byte("id: 7\ndata: x\r\n\r\nid: 8\ndata: y\r\n\r\n"))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(string(whole), "id: 8\ndata: y\r\n\r\n")
}

// TestCommentsAreNoProgress guards against a stalled server that passes for a working
// one because it still sends comments, parts of comments or empty lines. They are passed
// on, but not counted as events.
func TestCommentsAreNoProgress(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	for _, piece := range []string{": still here\n\n", "\n", ":", "\n\n", "\r\n\r\n"} {
		whole, n, err := s.Feed([]byte(piece))
		is.NoErr(err)
		is.Equal(n, 0)
		_ = whole
	}
	whole, n, err := s.Feed([]byte(": next\nid: 1\ndata: a\n\n"))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(string(whole), ": next\nid: 1\ndata: a\n\n")
}

// TestEventWithoutEnd guards against an unbounded buffer for an event that never ends.
func TestEventWithoutEnd(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	piece := []byte("data: " + strings.Repeat("x", 8<<10) + "\n")
	fed := 0
	for {
		_, _, err := s.Feed(piece)
		fed += len(piece)
		if err != nil {
			is.True(errors.Is(err, eventstream.ErrTooLarge))
			break
		}
		is.True(fed <= eventstream.MaxEventBytes)
	}
	is.True(fed <= eventstream.MaxEventBytes+len(piece))
}

// FuzzFeed checks for any bytes and any cut that Feed does not panic, returns no more
// bytes than it received and counts no event without bytes.
func FuzzFeed(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\nid: 1\ndata: b\n\nid: 2\n\n"), 9)
	f.Add([]byte("\n\n\r\n\r\nid:\xff\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = min(max(cut, 0), len(data))
		var s eventstream.Splitter
		passed := 0
		for _, part := range [][]byte{data[:cut], data[cut:]} {
			whole, events, err := s.Feed(part)
			if err != nil {
				return
			}
			passed += len(whole)
			if events > 0 && len(whole) == 0 {
				t.Fatal("events without bytes")
			}
		}
		if passed > len(data) {
			t.Fatalf("%d bytes of %d are passed on", passed, len(data))
		}
	})
}

// TestForeignBytesAreNoEvents guards against an error or the head of another answer that is passed
// on as an event of a stream. The events before it are passed on.
func TestForeignBytesAreNoEvents(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, foreign := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\noverloaded\n\n",
		`{"error":"overloaded"}` + "\n\n", "overloaded\n\n", "error: overloaded\n\n", "data: overloaded\n\n", "Retry-After: 1\nid: 3\ndata: c\n\n",
		"id: three\ndata: c\n\n", "\x00\x01: x\nid: 3\n\n",
	} {
		is := is.New(t)
		var s eventstream.Splitter
		whole, n, err := s.Feed([]byte(events + foreign + "id: 3\ndata: c\n\n"))
		if !errors.Is(err, eventstream.ErrNotAnEvent) {
			t.Errorf("%q: %v, passed on %q", foreign, err, whole)
			continue
		}
		is.Equal(string(whole), events)
		is.Equal(n, 2)
		is.Equal(s.LastID(), "2")
	}
}
