// Package result defines the numbered result codes that callers and operators
// see, and the error type that carries them. docs/RESULT-CODES.md lists every
// code; make check fails if a code is missing there.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result code.
type Code int

// Outcome states whether the request ran on an upstream.
type Outcome string

const (
	// NotRun means that the request ran on no upstream. It is used only when that is certain.
	NotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcome_unknown"
	// Ran means that the request ran, wholly or in part.
	Ran Outcome = "ran"
)

// definition holds the name and the HTTP status of a code.
type definition struct {
	name   string
	status int
}

// Error is a refusal or a failure with its numbered code.
type Error struct {
	Code    Code
	Outcome Outcome
	// RetryAfter is the time after which the caller may retry, 0 when a retry does not help.
	RetryAfter time.Duration
	// Detail is the error message for callers.
	Detail string
	// Err is the cause, if any. It is logged and not shown to callers.
	Err error
}

// New returns an error with the given code, outcome and formatted detail.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with the time after which the caller may retry.
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

// Name returns the code's name, or "unknown" for an undefined code.
func (c Code) Name() string {
	if d, ok := definitions[c]; ok {
		return d.name
	}
	return "unknown"
}

// HTTPStatus returns the HTTP status of an answer with the code, or 500 for an
// undefined code.
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

// From returns the first *Error in err's chain. If there is none, it wraps err in an
// Internal error with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, OutcomeUnknown, "internal error").WithCause(err)
}
