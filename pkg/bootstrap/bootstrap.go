// Package bootstrap keeps copies of what a VM without memory needs to serve: the configuration and
// the list of upstreams. The platform keeps each of them in one partition of its store. While that
// partition is away, a VM that starts could otherwise serve nothing. The package performs no I/O.
//
// Invariants:
//   - a copy is used only by a VM that has no configuration, or no list, and that the partition of
//     the platform did not answer;
//   - of several copies the newest is used; it is never preferred to what the platform or another
//     VM says;
//   - copies are written by one VM, at a rate that does not depend on the number of VMs.
package bootstrap

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
)

// Copies is the number of copies, each in a partition of its own.
const Copies = 2

// Partitions returns the partitions that hold the copies, spread over those of a topic. Partition 0
// is not among them if there is another one: the platform's own records are in partition 0.
func Partitions(parts int) []int {
	var list []int
	for i := range Copies {
		if p := parts - 1 - i*parts/Copies; p > 0 && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		list = []int{0}
	}
	return list
}

// Copy is what a VM without memory needs.
type Copy struct {
	// Config is the configuration in the store's encoding.
	Config []byte
	// Version is the version of the configuration.
	Version storeera.Version
	// Upstreams is the list of upstreams.
	Upstreams []roster.Upstream
	// ListOffset is the offset of the upstreams' topic up to which the list was read, in the copy
	// of the store that Era identifies.
	ListOffset uint64
	Era        storeera.Era
	// VMs is the number of entry VMs when the copy was written, 0 in copies of former builds.
	VMs int
}

const (
	// format is the first byte of an encoded copy. It changes with the encoding.
	format = 1
	// MaxBytes is the largest size of an encoded copy. The store's records hold 256 KiB.
	MaxBytes = 200 << 10
	// maxDecodedBytes bounds the size of a copy before compression.
	maxDecodedBytes = 8 << 20
)

// Errors of copies.
var (
	// ErrTooLarge is returned for a copy that exceeds MaxBytes or maxDecodedBytes.
	ErrTooLarge = errors.New("copy is too large")
	// ErrFormat is returned for a copy of another build or another writer.
	ErrFormat = errors.New("copy is not in a known format")
)

// Encode returns the record that holds a copy.
func Encode(c Copy) ([]byte, error) {
	b := bytes.NewBuffer([]byte{format})
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("encode copy: %w", err)
	}
	if err := errors.Join(msgpack.NewEncoder(w).Encode(&c), w.Close()); err != nil {
		return nil, fmt.Errorf("encode copy: %w", err)
	}
	if b.Len() > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, b.Len())
	}
	return b.Bytes(), nil
}

// Decode returns the copy in a record.
func Decode(record []byte) (Copy, error) {
	if len(record) == 0 || record[0] != format {
		return Copy{}, ErrFormat
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(record[1:])), maxDecodedBytes+1))
	switch {
	case err != nil:
		return Copy{}, fmt.Errorf("%w: %w", ErrFormat, err)
	case len(data) > maxDecodedBytes:
		return Copy{}, ErrTooLarge
	}
	var c Copy
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return Copy{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return c, nil
}

// Newest returns the newest of the copies, and false if there is none.
func Newest(copies []Copy) (Copy, bool) {
	if len(copies) == 0 {
		return Copy{}, false
	}
	return slices.MaxFunc(copies, func(a, b Copy) int {
		switch {
		case a.Version.After(b.Version):
			return 1
		case b.Version.After(a.Version):
			return -1
		case a.Era != b.Era:
			return compare(uint64(a.Era), uint64(b.Era))
		}
		return compare(a.ListOffset, b.ListOffset)
	}), true
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

const (
	// VersionInterval is the least time between two writes of a copy for new versions of the
	// configuration. The first one is written at once: a key that it withdraws must not be valid
	// again after a loss of all VMs.
	VersionInterval = time.Second
	// ListInterval is the least time between two writes of a copy for a change of the list alone.
	// An older list serves as well: a server that has left refuses requests for another one.
	ListInterval = 10 * time.Second
	// RetryInterval is the time after which a failed write is repeated.
	RetryInterval = 2 * time.Second
)

// Schedule decides when the copies are written. It is not safe for concurrent use.
type Schedule struct{ partitions []partition }

// partition is the state of one copy.
type partition struct {
	number  int
	version storeera.Version
	list    uint64 // fingerprint of the list
	// writtenAt is when the copy was last written, or when the schedule began.
	writtenAt time.Time
	// complete is set once the copy was written by this schedule.
	complete bool
	retryAt  time.Time // after a failure
}

// NewSchedule returns a schedule for copies in the given partitions. The VM that wrote them before
// is taken to have written the present version, so that VMs which take turns at it do not all write:
// a copy is due when the version changes, and after ListInterval in any case.
func NewSchedule(now time.Time, version storeera.Version, partitions []int) *Schedule {
	s := &Schedule{}
	for _, p := range partitions {
		s.partitions = append(s.partitions, partition{number: p, version: version, writtenAt: now})
	}
	return s
}

// Due returns the partitions whose copy is to be written now, given the version of the
// configuration and a fingerprint of the list.
func (s *Schedule) Due(now time.Time, version storeera.Version, list uint64) []int {
	var due []int
	for _, p := range s.partitions {
		age := now.Sub(p.writtenAt)
		newVersion := p.version != version && (!p.complete || age >= VersionInterval)
		newList := (!p.complete || p.list != list) && age >= ListInterval
		if (newVersion || newList) && !now.Before(p.retryAt) {
			due = append(due, p.number)
		}
	}
	return due
}

// Record records the result of a write.
func (s *Schedule) Record(now time.Time, number int, version storeera.Version, list uint64, err error) {
	for i := range s.partitions {
		p := &s.partitions[i]
		switch {
		case p.number != number:
		case err != nil:
			p.retryAt = now.Add(RetryInterval)
		default:
			p.version, p.list, p.writtenAt, p.complete = version, list, now, true
		}
	}
}
