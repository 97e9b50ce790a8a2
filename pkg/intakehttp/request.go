package intakehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/cornelline/cornelline/pkg/intake"
)

// Request is the present request of a counted connection. A nil Request counts nothing.
type Request struct{ conn *conn }

// FromContext returns the request of a context, or nil if its connection is not counted.
func FromContext(ctx context.Context) *Request {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return nil
	}
	return &Request{c}
}

// SetTeam records the team of the request.
func (r *Request) SetTeam(team string) {
	if r != nil {
		r.conn.guard.account.SetTeam(r.conn.entry, team)
	}
}

// Admit reserves what a request takes while it is served, beside its header and body. The error is
// a *TurnedAwayError if there is no room; the connection should then be closed.
func (r *Request) Admit() error {
	if r == nil {
		return nil
	}
	cause, endings := r.conn.guard.account.Admit(time.Now(), r.conn.entry)
	err := r.turnedAway(cause, endings)
	if err != nil {
		r.linger()
	}
	return err
}

// TurnedAwayError reports that the account has no room, or that the request had to make room for
// others.
type TurnedAwayError struct{ Cause intake.Cause }

// Error returns the cause.
func (e *TurnedAwayError) Error() string { return "turned away: " + e.Cause.String() }

const (
	// firstSegment and maxSegment bound the segments in which bytes of unknown or large length
	// are read. A caller that announces more than it sends costs one segment.
	firstSegment = 1 << 10
	maxSegment   = 256 << 10
	// maxSingleSegment is the length up to which a body is read into one segment.
	maxSingleSegment = 64 << 10
)

// lingerTime is how long the server reads on after it has refused a body, so that the caller gets
// the refusal rather than a reset.
const lingerTime = 200 * time.Millisecond

// ReadBody reads a body of the given length, or of unknown length if it is negative, into segments.
// The bytes are reserved before they are read. The error is a *TurnedAwayError if there is no room
// for them; the connection should then be closed.
func (r *Request) ReadBody(body io.Reader, length int64) ([][]byte, error) {
	if r == nil {
		segments, _, err := readSegments(body, length, -1, func(int64) error { return nil })
		return segments, err
	}
	account, entry := r.conn.guard.account, r.conn.entry
	account.BeginBody(entry)
	if length > 0 {
		if err := r.reserve(intake.Body, length); err != nil {
			r.linger()
			return nil, err
		}
	}
	segments, _, err := readSegments(body, length, -1, func(n int64) error {
		if length >= 0 {
			return nil
		}
		return r.reserve(intake.Body, n)
	})
	var full *TurnedAwayError
	switch {
	case errors.As(err, &full):
		r.linger()
		return nil, err
	case !account.EndBody(entry):
		return nil, &TurnedAwayError{intake.Stalled}
	}
	return segments, err
}

// ReadWholeBody is ReadBody for callers that need the body in one piece.
func (r *Request) ReadWholeBody(body io.Reader, length int64) ([]byte, error) {
	segments, err := r.ReadBody(body, length)
	if err != nil || len(segments) == 0 {
		return nil, err
	}
	if len(segments) == 1 {
		return segments[0], nil
	}
	var total int64
	for _, segment := range segments {
		total += int64(len(segment))
	}
	if r == nil {
		return bytes.Join(segments, nil), nil
	}
	// Both copies exist until the segments are dropped.
	if err := r.reserve(intake.Body, total); err != nil {
		return nil, err
	}
	defer r.conn.guard.account.Release(r.conn.entry, intake.Body, total)
	return bytes.Join(segments, nil), nil
}

// ReadAnswer reads an answer of the given length, or of unknown length if it is negative, until it is
// complete, has most bytes or finds no room. It reports whether it is complete.
func (r *Request) ReadAnswer(answer io.Reader, length, most int64) (segments [][]byte, complete bool, err error) {
	if r == nil {
		return readSegments(answer, length, most, func(int64) error { return nil })
	}
	reserved := int64(0)
	segments, complete, err = readSegments(answer, length, most, func(n int64) error {
		cause, endings := r.conn.guard.account.Reserve(time.Now(), r.conn.entry, intake.Answer, n)
		r.conn.guard.carryOut(endings)
		if cause != intake.NoCause {
			return &TurnedAwayError{cause}
		}
		reserved += n
		return nil
	})
	var full *TurnedAwayError
	if errors.As(err, &full) {
		return segments, false, nil
	}
	if err != nil { // the request may get another answer
		r.conn.guard.account.Release(r.conn.entry, intake.Answer, reserved)
	}
	return segments, complete, err
}

func (r *Request) reserve(kind intake.Kind, n int64) error {
	cause, endings := r.conn.guard.account.Reserve(time.Now(), r.conn.entry, kind, n)
	return r.turnedAway(cause, endings)
}

// turnedAway carries out what the account decided about a reservation, and returns its error.
func (r *Request) turnedAway(cause intake.Cause, endings []intake.Ending) error {
	r.conn.guard.carryOut(endings)
	if cause == intake.NoCause {
		return nil
	}
	r.conn.guard.turnedAway(cause, r.conn.address)
	return &TurnedAwayError{cause}
}

// linger bounds the time in which the server reads on.
func (r *Request) linger() {
	_ = r.conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
}

// readSegments reads up to the end, a length or a limit into segments, each of which is reserved
// first. A negative length or limit is none. complete is set if the end was reached.
func readSegments(from io.Reader, length, limit int64, reserve func(int64) error) (segments [][]byte, complete bool, err error) {
	var total int64
	for {
		size := segmentSize(total, length)
		if limit >= 0 {
			size = min(size, limit-total)
			if size == 0 {
				return segments, false, nil
			}
		}
		if err := reserve(size); err != nil {
			return segments, false, err
		}
		segment := make([]byte, size)
		n, err := readFull(from, segment)
		total += int64(n)
		if n > 0 {
			segments = append(segments, segment[:n])
		}
		switch {
		case err == io.EOF:
			return segments, true, nil
		case err != nil:
			return segments, false, err
		}
	}
}

// segmentSize returns the size of the segment that follows total bytes. The last one has a byte
// more than a known length, so that the end is read as well.
func segmentSize(total, length int64) int64 {
	size := min(max(total, firstSegment), maxSegment)
	switch {
	case length < 0:
		return size
	case length <= maxSingleSegment:
		return length - total + 1
	}
	return min(size, length-total+1)
}

// readFull reads until p is full or an error occurs, which it returns unchanged: a body that breaks
// off must not look complete.
func readFull(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = from.Read(p[n:])
		n += m
	}
	return n, err
}
