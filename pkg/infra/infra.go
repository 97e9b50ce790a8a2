// Package infra defines the interfaces to the platform's services (the
// append-only log, the weight store and the VM list) and their HTTP clients.
package infra

import (
	"context"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Names of the log's streams.
const (
	// SettingsStream carries settings changes, leases and their snapshots.
	SettingsStream = "settings"
	// ClaimsStream carries claim and done records.
	ClaimsStream = "claims"
)

// ErrUnavailable is returned when the service did not answer or failed. An append
// that returns it may have taken effect.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrRateLimited is returned when the service refused the call because of its rate
// limit. The call had no effect.
var ErrRateLimited = errors.New("platform service rate limit reached")

// ErrTruncated is returned by Read when the log no longer keeps the requested offset.
// First in the Batch that is returned with the error is the oldest kept offset.
var ErrTruncated = errors.New("log records no longer kept")

// Record is one record of a stream as the log returns it.
type Record struct {
	Offset uint64 `json:"offset"`
	// AppendedAt is the time of the append by the log's clock.
	AppendedAt time.Time `json:"appended_at"`
	Data       []byte    `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Records []Record `json:"records"`
	// First is the oldest offset that the log keeps. Offsets start at 1.
	First uint64 `json:"first"`
	// Next is the offset that the next appended record will get.
	Next uint64 `json:"next"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream in one call and returns the offset of the first
	// one. If it returns ErrUnavailable, it is unknown whether the records were added.
	Append(ctx context.Context, stream string, records [][]byte) (first uint64, err error)
	// Read returns at most max records, starting at offset from.
	Read(ctx context.Context, stream string, from uint64, max int) (Batch, error)
}

// WeightStore is the platform's rate-limited store of model weights. Engines load
// weights from it. The router orders these loads at a pace that fits the store's rate.
type WeightStore interface {
	// Rate returns the store's total transfer rate in bytes per second.
	Rate(ctx context.Context) (float64, error)
}

// VMEntry is one entry of the platform's VM list.
type VMEntry struct {
	ID         string             `json:"id"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Address    string             `json:"address"`
	// Leaving is set for a VM that is about to be stopped.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. Changes appear in it with a
// delay.
type VMList interface {
	List(ctx context.Context) ([]VMEntry, error)
}
