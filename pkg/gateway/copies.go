package gateway

import (
	"context"
	"errors"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/bootstrap"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

const (
	// copyCheckInterval is the interval at which a VM checks whether the copies are to be
	// written. A new configuration leads to a check at once.
	copyCheckInterval = 500 * time.Millisecond
	// copyReadAfterSeed and copyReadAfter are the ages at which a seed and another VM that lack
	// the configuration or the list read the copies, also if no call to the store has failed
	// yet: one to a silent partition takes longer. Seeds read the store at once, and the others
	// learn from them.
	copyReadAfterSeed = 500 * time.Millisecond
	copyReadAfter     = 2 * time.Second
	// copyReadInterval is the least time between two reads of the copies by a VM.
	copyReadInterval = 500 * time.Millisecond
	// copyGatherTime is how long a read waits for further copies after the first one.
	copyGatherTime = 200 * time.Millisecond
)

// followCopies starts from a copy if this VM needs one, and keeps the copies and the record of crash
// causes up to date while this VM reads the list for all, until ctx ends.
func (g *Gateway) followCopies(ctx context.Context) {
	partitions := bootstrap.Partitions(g.settings.Store.Partitions)
	var schedule *bootstrap.Schedule // while this VM writes the copies
	var crashes crashRecord
	wasDuty, restoreCount := false, g.eras.restoreCount()
	g.spawn("copy", func() { g.toldInCopies(ctx) })
	ticker := time.NewTicker(copyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-g.copiesDue:
		case <-ctx.Done():
			return
		}
		duty, restores := g.storeDuty.Load().ReadsList, g.eras.restoreCount()
		if !duty || !wasDuty || restores != restoreCount { // the store may hold other copies now
			schedule = nil
			crashes.written = nil
		}
		wasDuty, restoreCount = duty, restores
		switch {
		case g.lacksState():
			if age := time.Since(g.started); age > copyReadAfter || g.settings.IsSeed && age > copyReadAfterSeed {
				g.startFromCopy(ctx)
			}
		case duty:
			schedule = g.writeDueCopies(ctx, schedule, partitions)
		}
		crashes.keep(ctx, g, duty)
	}
}

// copyState is what the control goroutine knows for a copy.
type copyState struct {
	version  storeera.Version
	revision uint64
	copy     bootstrap.Copy
	// usable is set if the configuration is known, and a list that does not come from a copy.
	usable bool
}

// writeDueCopies writes the copies that are due by a schedule, or begins one if there is none. It
// returns the schedule.
func (g *Gateway) writeDueCopies(ctx context.Context, schedule *bootstrap.Schedule, partitions []int) *bootstrap.Schedule {
	state, ok := g.copyState(ctx, false)
	if !ok || !state.usable {
		return schedule
	}
	if schedule == nil {
		schedule = bootstrap.NewSchedule(time.Now(), state.version, partitions)
	}
	if len(schedule.Due(time.Now(), state.version, state.revision)) == 0 {
		return schedule
	}
	if state, ok = g.copyState(ctx, true); !ok || !state.usable {
		return schedule
	}
	record, err := bootstrap.Encode(state.copy)
	due := schedule.Due(time.Now(), state.version, state.revision)
	results := make(chan copyResult, len(due))
	for _, partition := range due { // one that is silent must not delay the others
		g.spawn("copy", func() {
			r := copyResult{partition: partition, err: errCopyNotWritten}
			defer func() { results <- r }()
			if r.err = err; err == nil {
				r.err = g.writeCopy(ctx, partition, record)
			}
		})
	}
	for range due {
		r := <-results
		schedule.Record(time.Now(), r.partition, state.version, state.revision, r.err)
		if r.err != nil {
			g.stats.Count("copies_not_written")
			g.log.Log(event.CopyNotWritten).Int("partition", r.partition).Err(r.err).Send()
			continue
		}
		g.stats.Count("copies_written")
	}
	return schedule
}

// copyResult is the result of writing one copy.
type copyResult struct {
	partition int
	err       error
}

// errCopyNotWritten is the result of a write that a panic ended.
var errCopyNotWritten = errors.New("copy was not written")

func (g *Gateway) writeCopy(ctx context.Context, partition int, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return g.store.Append(ctx, platform.CopyTopic, partition, platform.CopyKey, record)
}

// copyRevision identifies the list and, roughly, the number of VMs: a copy need not be written again
// while that number changes by less than half.
func copyRevision(listRevision uint64, vms int) uint64 {
	return listRevision<<8 | uint64(bits.Len(uint(vms)))
}

// copyState asks the control goroutine for the state of a copy, with its content if whole is set.
func (g *Gateway) copyState(ctx context.Context, whole bool) (copyState, bool) {
	answer := make(chan copyState, 1)
	g.control.post(func(time.Time) {
		c := g.control
		v := g.view.Load()
		s := copyState{version: c.configuration.InForce(), revision: copyRevision(c.listRevision, v.vms), usable: c.configRecord != nil && c.listKnown && !c.listFromCopy}
		if whole && s.usable {
			s.copy = bootstrap.Copy{Config: c.configRecord.data, Version: s.version, Upstreams: c.roster.List(), ListOffset: c.listOffset, Era: g.eras.era(), VMs: v.vms}
		}
		answer <- s
	})
	select {
	case s := <-answer:
		return s, true
	case <-time.After(fetchTimeout): // the control goroutine dropped the event
	case <-ctx.Done():
	}
	return copyState{}, false
}

// copyReads limits the reads of the copies. It is safe for concurrent use.
type copyReads struct {
	mu   sync.Mutex
	last time.Time
}

func (r *copyReads) begin(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.last.IsZero() && now.Sub(r.last) < copyReadInterval {
		return false
	}
	r.last = now
	return true
}

// lacksState reports whether this VM has no configuration or no list of upstreams.
func (g *Gateway) lacksState() bool {
	v := g.view.Load()
	return v.catalog == nil || !v.listKnown
}

// startFromCopy reads the copies if this VM has no configuration or no list, and uses the newest
// one for what it lacks. It is called when the store does not answer for one of them.
func (g *Gateway) startFromCopy(ctx context.Context) {
	if !g.lacksState() || !g.copyReads.begin(time.Now()) {
		return
	}
	copies := g.readCopies(ctx)
	c, ok := bootstrap.Newest(copies)
	if !ok {
		return
	}
	record := g.control.decodeConfig(c.Config, "copy")
	g.control.post(func(now time.Time) { g.control.adoptCopy(now, c, record, len(copies)) })
}

// readCopies returns the copies that can be read soon after the first one.
func (g *Gateway) readCopies(ctx context.Context) []bootstrap.Copy {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	partitions := bootstrap.Partitions(g.settings.Store.Partitions)
	results := make(chan *bootstrap.Copy, len(partitions))
	for _, partition := range partitions {
		g.spawn("copy", func() {
			var found *bootstrap.Copy
			defer func() { results <- found }()
			page, err := g.store.NewestOf(ctx, platform.CopyTopic, partition)
			if err != nil {
				g.stats.Count("copies_not_read")
				return
			}
			for _, r := range page.Records {
				if c, err := bootstrap.Decode(r.Value); r.Key == platform.CopyKey && err == nil {
					found = &c
				}
			}
		})
	}
	var copies []bootstrap.Copy
	var gathered <-chan time.Time
	for range partitions {
		select {
		case c := <-results:
			if c == nil {
				continue
			}
			copies = append(copies, *c)
			if gathered == nil {
				gathered = time.After(copyGatherTime)
			}
		case <-gathered:
			return copies
		}
	}
	return copies
}

// adoptCopy uses a copy for what this VM does not know yet.
func (c *control) adoptCopy(now time.Time, copied bootstrap.Copy, record *configRecord, copies int) {
	takeConfig, takeList := c.catalog == nil && record != nil, !c.listKnown
	if !takeConfig && !takeList {
		return
	}
	c.g.log.Log(event.StartedFromCopy).Uint64("version", copied.Version.Number).Int("upstreams", len(copied.Upstreams)).
		Int("copies", copies).Bool("config", takeConfig).Bool("list", takeList).Send()
	if takeList {
		c.listKnown, c.listFromCopy, c.dirty = true, true, true
		c.applyRosterChanges(now, c.roster.ApplyListing(now, roster.Listing{Changed: copied.Upstreams}, nil))
	}
	if takeConfig && c.configuration.ObservePeerVersion(copied.Version, c.g.eras.era()) {
		c.activateConfig(now, record, "copy")
	}
}

// unlisted returns the upstreams of the roster that are not in a complete list.
func (c *control) unlisted(list []roster.Upstream) []fleet.UpstreamID {
	var missing []fleet.UpstreamID
	for _, u := range c.roster.List() {
		if !slices.ContainsFunc(list, func(l roster.Upstream) bool { return l.ID == u.ID }) {
			missing = append(missing, u.ID)
		}
	}
	return missing
}
