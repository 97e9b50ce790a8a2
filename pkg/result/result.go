// Package result defines the numbered result codes that callers and operators
// see, and the error type that carries them. docs/RESULT-CODES.md lists every
// code; make check fails when one is missing there.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result code.
type Code int

// Outcome says whether the request ran on an upstream.
type Outcome string

const (
	// NotRun states that the request ran nowhere. It is used only when that is certain.
	NotRun Outcome = "not_run"
	// OutcomeUnknown states that the request may have run.
	OutcomeUnknown Outcome = "outcome_unknown"
	// Ran states that the request ran, wholly or in part.
	Ran Outcome = "ran"
)

// definition is one row of the table of codes.
type definition struct {
	name   string
	status int
}

// Error is a refusal or failure with its numbered code.
type Error struct {
	Code    Code
	Outcome Outcome
	// RetryAfter is the time after which the caller may come back; 0 when retrying does not help.
	RetryAfter time.Duration
	// Detail is a sentence for a person.
	Detail string
	// Err is the cause, if any. It is logged and not shown to callers.
	Err error
}

// New returns an error with the given code, outcome and formatted detail.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy of e that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Err = err
	return &c
}

// Error formats the code, its name, the detail and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s: %s", e.Code, e.Code.Name(), e.Detail)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Name returns the code's name as the table spells it.
func (c Code) Name() string {
	if d, ok := definitions[c]; ok {
		return d.name
	}
	return "unknown"
}

// HTTPStatus returns the HTTP status that carries the code.
func (c Code) HTTPStatus() int {
	if d, ok := definitions[c]; ok {
		return d.status
	}
	return http.StatusInternalServerError
}

// All returns every defined code with its name.
func All() map[Code]string {
	all := make(map[Code]string, len(definitions))
	for c, d := range definitions {
		all[c] = d.name
	}
	return all
}

// From returns err as an *Error. An error of another type becomes Internal with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, OutcomeUnknown, "internal error").WithCause(err)
}
