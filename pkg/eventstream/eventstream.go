// Package eventstream cuts the bytes of an event stream into whole events, so
// that a relayed stream never ends within one and another run can continue it.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrTooLarge: an event did not end within MaxEventBytes.
var ErrTooLarge = errors.New("event of the stream is too large")

// MaxEventBytes bounds an event, which on the platform is some hundred bytes. What a
// stream holds back until an event ends is no more than this and one read.
const MaxEventBytes = 256 << 10

// Splitter collects the bytes of one stream. The zero value is ready for use.
type Splitter struct {
	buffer []byte
	// last is the number of the last event passed on; seen says whether there was one.
	last uint64
	seen bool
	// lastID is the same as it stood in the stream.
	lastID string
}

// LastID returns the identity of the last event passed on, empty for none.
func (s *Splitter) LastID() string { return s.lastID }

// Seen reports whether an event was passed on.
func (s *Splitter) Seen() bool { return s.seen }

// Partial reports whether the stream so far ends within an event.
func (s *Splitter) Partial() bool { return len(s.buffer) > 0 }

// Restart drops a partial event: another run continues after the last whole one.
func (s *Splitter) Restart() { s.buffer = s.buffer[:0] }

// Feed takes in bytes and returns those of the events that are whole now, with
// their number. Events that were passed on before are left out. Blocks of comments
// are passed on and not counted: a chain that sends only those makes no progress. The
// result is valid until the next call.
func (s *Splitter) Feed(p []byte) (whole []byte, events int, err error) {
	s.buffer = append(s.buffer, p...)
	rest := s.buffer
	var out []byte
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		if id, ok := eventID(event); ok {
			if n, err := strconv.ParseUint(id, 10, 64); err == nil {
				if s.seen && n <= s.last {
					continue
				}
				s.last = n
			}
			s.lastID = id
			s.seen = true
		}
		out = append(out, event...)
		if carriesData(event) {
			events++
		}
	}
	if len(rest) != len(s.buffer) {
		s.buffer = append(s.buffer[:0], rest...)
	}
	if len(s.buffer) > MaxEventBytes {
		return out, events, ErrTooLarge
	}
	return out, events, nil
}

// carriesData reports whether a block has a line other than comments.
func carriesData(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// Continue notes the last event that the caller already has.
func (s *Splitter) Continue(id string) {
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		s.last, s.seen, s.lastID = n, true, id
	}
}

// eventEnd returns the length of the first whole event with its empty line, -1
// when there is none.
func eventEnd(b []byte) int {
	plain := bytes.Index(b, []byte("\n\n"))
	carriage := bytes.Index(b, []byte("\n\r\n"))
	switch {
	case plain < 0 && carriage < 0:
		return -1
	case carriage < 0 || plain >= 0 && plain < carriage:
		return plain + len("\n\n")
	}
	return carriage + len("\n\r\n")
}

// eventID returns the value of an event's id line.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}
