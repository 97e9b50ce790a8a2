package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// verdict is what the result of a call says about the upstream's health.
type verdict uint8

const (
	verdictSucceeded verdict = iota
	// verdictNeutral says nothing about the upstream's health: the caller disconnected,
	// or the upstream refused a request that it did not run.
	verdictNeutral
	verdictRefused
	verdictSilent
	verdictFailed
)

// classify returns what the result of a call says about the upstream's health.
func classify(err error) verdict {
	var e *upstream.Error
	switch {
	case err == nil:
		return verdictSucceeded
	case errors.Is(err, context.Canceled):
		return verdictNeutral
	case errors.Is(err, upstream.ErrSilent):
		return verdictSilent
	case !errors.As(err, &e):
		return verdictFailed
	case !e.Sent && e.Status == 0:
		return verdictRefused
	case !e.Sent, e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError:
		return verdictNeutral
	}
	return verdictFailed
}
