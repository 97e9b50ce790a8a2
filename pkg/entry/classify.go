package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// verdict is what an error says about the upstream's health.
type verdict uint8

const (
	succeeded verdict = iota
	// neutral errors say nothing about the upstream: the caller left, or the
	// upstream refused a request that it did not run.
	neutral
	refused
	silent
	failed
)

// classify returns what the result of a call says about the upstream's health.
func classify(err error) verdict {
	var e *upstream.Error
	switch {
	case err == nil:
		return succeeded
	case errors.Is(err, context.Canceled):
		return neutral
	case errors.Is(err, upstream.ErrSilent):
		return silent
	case !errors.As(err, &e):
		return failed
	case !e.Sent && e.Status == 0:
		return refused
	case !e.Sent, e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError:
		return neutral
	}
	return failed
}
