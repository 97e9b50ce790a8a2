package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/platform"
)

// crashRecordInterval is the least time between two calls to the store for the record of crash
// causes.
const crashRecordInterval = 2 * time.Second

// crashRecord keeps the causes of crashes in the store, for VMs that start when no other one is left.
// The VM that reads the list of upstreams for all writes it. A VM that gets that list from the store
// when it starts, and not from another VM, reads it.
type crashRecord struct {
	read bool
	// written is the record that this VM wrote last, nil if it has written none.
	written  []byte
	calledAt time.Time
}

// keep makes the call to the store that is due, if any.
func (r *crashRecord) keep(ctx context.Context, g *Gateway, duty bool) {
	if !r.calledAt.IsZero() && time.Since(r.calledAt) < crashRecordInterval {
		return
	}
	if !r.read && g.listReadAtStart.Load() {
		r.calledAt = time.Now()
		r.read = g.readCrashRecord(ctx)
		return
	}
	groups := g.crashGroups.Load()
	if !duty || groups == nil || len(*groups) == 0 && r.written == nil {
		return
	}
	record, err := crashcause.EncodeGroups(*groups)
	if err == nil && bytes.Equal(record, r.written) {
		return
	}
	r.calledAt = time.Now()
	if err == nil {
		err = g.writeCrashRecord(ctx, record)
	}
	if err != nil {
		g.stats.Count("crash_records_not_written")
		g.log.Log(event.CrashRecordFailed).Str("call", "write").Err(err).Send()
		return
	}
	r.written = record
}

func (g *Gateway) writeCrashRecord(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return g.store.Append(ctx, platform.CrashTopic, 0, platform.CrashKey, record)
}

// readCrashRecord takes over the record in the store, and reports whether the store answered.
func (g *Gateway) readCrashRecord(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := g.store.Newest(ctx, platform.CrashTopic)
	if err != nil {
		g.stats.Count("crash_records_not_read")
		g.log.Log(event.CrashRecordFailed).Str("call", "read").Err(err).Send()
		return false
	}
	for _, r := range page.Records {
		if r.Key != platform.CrashKey || r.Value == nil {
			continue
		}
		groups, err := crashcause.DecodeGroups(r.Value)
		if err != nil {
			g.log.Log(event.CrashRecordFailed).Str("call", "decode").Err(err).Send()
			continue
		}
		g.control.post(func(now time.Time) {
			for _, group := range groups {
				group.LastCrash = now
				g.control.crashes.Adopt(group) // nothing has been cleared yet
			}
		})
	}
	return true
}
