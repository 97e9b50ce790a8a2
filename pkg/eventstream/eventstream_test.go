package eventstream_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/eventstream"
)

// TestOnlyWholeEventsPass cuts a stream at every byte: what is passed on is always
// a whole number of events, each once.
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
		is.True(!s.Partial())
	}
}

// TestAnotherRunContinues: after a run that broke off within an event, the next run
// goes on after the last whole event, and events that came before are left out.
func TestAnotherRunContinues(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	whole, n, err := s.Feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	is.NoErr(err)
	is.Equal(n, 2)
	is.Equal(string(whole), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(s.Partial())
	s.Restart()
	is.Equal(s.LastID(), "2")
	whole, n, err = s.Feed([]byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(string(whole), "id: 3\ndata: c\n\n")
}

// TestCallerContinues: a caller that names its last event gets only later ones.
func TestCallerContinues(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	s.Continue("7")
	whole, n, err := s.Feed([]byte("id: 7\ndata: x\r\n\r\nid: 8\ndata: y\r\n\r\n"))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(string(whole), "id: 8\ndata: y\r\n\r\n")
}

// TestCommentsAreNoProgress: a stalled server that sends a comment, a part of one or an
// empty line now and then is passed on, but counts no event.
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

// TestEventWithoutEnd: what is held back of an event that never ends is bounded.
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

// FuzzFeed: whatever the bytes and the cut, what is passed on is a part of them in order,
// no event number comes twice, and nothing panics.
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
