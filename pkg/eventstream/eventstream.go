// Package eventstream splits a server-sent event stream into whole events, so that
// a relayed stream never ends within an event and another run of the request can
// continue it.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrTooLarge is returned when an event did not end within MaxEventBytes.
var ErrTooLarge = errors.New("event of the stream is too large")

// ErrNotAnEvent is returned for bytes that are no event of the stream, such as an error that a
// server writes into it.
var ErrNotAnEvent = errors.New("not an event of the stream")

// MaxEventBytes is the largest size of an event that is not whole yet; events on the
// platform have some hundred bytes. A Splitter buffers at most this size plus the
// bytes of one Feed.
const MaxEventBytes = 64 << 10

// Splitter splits the bytes of one stream into events. The zero value is ready for use.
type Splitter struct {
	// buffer holds the bytes of an event that is not whole yet.
	buffer []byte
	// lastNumber is the numeric ID of the last event that had one.
	lastNumber uint64
	// hasLastID is set once an event with an ID was passed on or ResumeAfter was called.
	hasLastID bool
	// lastID is the ID of the last event that had one, as in the stream.
	lastID string
	// repeated counts the events that were left out because they had been passed on before.
	repeated int
}

// LastID returns the ID of the last event that had one, or the ID that ResumeAfter
// set. It is empty for none.
func (s *Splitter) LastID() string { return s.lastID }

// HasLastID reports whether an event with an ID was passed on, or set by ResumeAfter.
func (s *Splitter) HasLastID() bool { return s.hasLastID }

// LastNumber returns the number of the last event that had one, 0 if there is none.
func (s *Splitter) LastNumber() uint64 { return s.lastNumber }

// Repeated returns the number of events that were left out so far because they had been passed on
// before.
func (s *Splitter) Repeated() int { return s.repeated }

// HasPartial reports whether the stream so far ends within an event.
func (s *Splitter) HasPartial() bool { return len(s.buffer) > 0 }

// DropPartial discards a partial event, because another run continues after the
// last whole event.
func (s *Splitter) DropPartial() { s.buffer = s.buffer[:0] }

// Feed adds bytes of the stream. It returns the bytes of the events that are whole
// now and the number of these events. Events that were passed on before, by their
// numeric ID, are left out. Blocks of comments are returned but not counted, because
// a chain that sends only comments makes no progress. With an error, the events before it
// are returned too. The result is valid until the next call.
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
		number, numbered := eventNumber(event)
		data := carriesData(event)
		if !isBlock(event) || data && s.hasLastID && !numbered {
			s.buffer = s.buffer[:0]
			return out, events, ErrNotAnEvent
		}
		rest = rest[end:]
		if id, ok := eventID(event); ok {
			if numbered {
				if s.hasLastID && number <= s.lastNumber {
					s.repeated++
					continue
				}
				s.lastNumber = number
			}
			s.lastID = id
			s.hasLastID = true
		}
		out = append(out, event...)
		if data {
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

// isBlock reports whether all lines of a block are comments or fields of an event stream, whose
// names are words in lower case. The head of an answer and objects in JSON are not such lines.
func isBlock(block []byte) bool {
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, field := bytes.Cut(line, []byte(":"))
		if len(line) == 0 || field && len(name) == 0 { // the end or a comment
			continue
		}
		if !field || bytes.ContainsFunc(name, func(r rune) bool { return !strings.ContainsRune(fieldNameRunes, r) }) {
			return false
		}
	}
	return true
}

// fieldNameRunes are the characters of field names.
const fieldNameRunes = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// eventNumber returns the ID of an event if it is a number.
func eventNumber(event []byte) (uint64, bool) {
	id, ok := eventID(event)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// carriesData reports whether a block has a line that is neither empty nor a comment.
func carriesData(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// ResumeAfter sets the ID of the last event that the caller already has. It ignores
// an ID that is not a number.
func (s *Splitter) ResumeAfter(id string) {
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		s.lastNumber, s.hasLastID, s.lastID = n, true, id
	}
}

// eventEnd returns the length of the first whole event including its empty line, or
// -1 when no event is whole.
func eventEnd(b []byte) int {
	lfEnd := bytes.Index(b, []byte("\n\n"))
	crlfEnd := bytes.Index(b, []byte("\n\r\n"))
	switch {
	case lfEnd < 0 && crlfEnd < 0:
		return -1
	case crlfEnd < 0 || lfEnd >= 0 && lfEnd < crlfEnd:
		return lfEnd + len("\n\n")
	}
	return crlfEnd + len("\n\r\n")
}

// eventID returns the value of an event's first id line and whether there is one.
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
