package eventstream_test

import (
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
		first, _ := s.Feed([]byte(stream[:cut]))
		out := string(first)
		rest, _ := s.Feed([]byte(stream[cut:]))
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
	whole, n := s.Feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	is.Equal(n, 2)
	is.Equal(string(whole), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(s.Partial())
	s.Restart()
	is.Equal(s.LastID(), "2")
	whole, n = s.Feed([]byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
	is.Equal(n, 1)
	is.Equal(string(whole), "id: 3\ndata: c\n\n")
}

// TestCallerContinues: a caller that names its last event gets only later ones.
func TestCallerContinues(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	s.Continue("7")
	whole, n := s.Feed([]byte("id: 7\ndata: x\r\n\r\nid: 8\ndata: y\r\n\r\n"))
	is.Equal(n, 1)
	is.Equal(string(whole), "id: 8\ndata: y\r\n\r\n")
}
