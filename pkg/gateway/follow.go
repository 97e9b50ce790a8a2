package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/pkg/storewatch"
	"github.com/cornelline/cornelline/platform"
)

const (
	// configPollTimeout is how long a long poll of the operator's topic stays open. A change
	// is answered at once. Keep-alive probes end a silent connection, and other VMs report a
	// newer configuration.
	configPollTimeout = 20 * time.Second
	// configShortPollTimeout replaces configPollTimeout until the store has been stable for
	// storeStablePeriod, and always on the VM that reads the list for all. A poll that is open
	// when the store becomes silent is never answered; it ends when another call of this VM
	// fails, or at the latest after its timeout and configReadSlack. If only the partition of
	// the configuration is silent, no other call fails, and the short polls of one VM notice
	// when it is back for all.
	configShortPollTimeout = 2000 * time.Millisecond
	// configConfirmPollTimeout is the least time for which the poll that confirms a pending
	// configuration stays open.
	configConfirmPollTimeout = 100 * time.Millisecond
	// configReadSlack is added to the poll timeout to get the timeout of the whole call.
	configReadSlack = 600 * time.Millisecond
	// storeStablePeriod is the time without a failed call after which the store counts as
	// stable.
	storeStablePeriod = 10 * time.Second
	// configCheckInterval is the interval at which a VM that gets the configuration from
	// other VMs checks whether it has to read it itself.
	configCheckInterval = 200 * time.Millisecond
	// listReadInterval is the time between two reads of the upstreams' topic by the VM that
	// reads it for all. Calls to the store are priced, so one read collects many entries. A
	// draining upstream must get no work after 2 s.
	listReadInterval = 1000 * time.Millisecond
	// listingTimeout is the time without a listing from another VM after which a VM reads
	// the topic itself. It leaves time for that read within the 2 s in which a draining
	// upstream must be known.
	listingTimeout = 1500 * time.Millisecond
	// maxListAge is the age up to which a list is offered to a VM that is starting.
	maxListAge = 2 * listingTimeout
	// listingQueueSize bounds the received listings that wait to be applied.
	listingQueueSize = 16
	// storeTimeout bounds a call to the store. An answer usually takes 4 ms, and 60 times as
	// long on a slow day.
	storeTimeout = 1500 * time.Millisecond
	// startupPeerWait is how long a starting VM waits for state from other VMs before it
	// asks the store itself. It covers several intervals of their state messages. Seed VMs
	// do not wait, so that some VMs read at once after a stop of the whole fleet.
	startupPeerWait = 1200 * time.Millisecond
	// peerListingTrustedAfter is the time since this VM's last failed call after which a
	// listing from another VM counts as a sign that the store answers this VM too.
	peerListingTrustedAfter = 4 * time.Second
	// emptyTopicPause is the pause after a read of a topic that holds no configuration yet.
	emptyTopicPause = 300 * time.Millisecond
)

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitsForPeers reports whether this VM waits for state from other VMs when it starts.
func (g *Gateway) waitsForPeers() bool { return len(g.settings.Seeds) > 0 && !g.settings.IsSeed }

// followConfig keeps the configuration up to date until ctx ends. Some VMs read it from the
// store; the others get it from them.
func (g *Gateway) followConfig(ctx context.Context) {
	var nextOffset uint64
	whole := true
	failures := 0
	restoreCount := g.eras.restoreCount()
	if g.waitsForPeers() {
		until := time.Now().Add(jitter(startupPeerWait))
		for g.view.Load().catalog == nil && time.Now().Before(until) {
			sleep(ctx, configCheckInterval/2)
		}
	}
	for ctx.Err() == nil {
		if !g.storeDuty.Load().WatchesConfig && g.view.Load().catalog != nil {
			sleep(ctx, configCheckInterval)
			continue
		}
		if count := g.eras.restoreCount(); count != restoreCount { // nextOffset belongs to another copy of the store
			restoreCount, whole = count, true
		}
		readStart := time.Now()
		page, err := g.readConfig(ctx, nextOffset, whole)
		if verdict := g.checkCallEra(restoreCount, page.Era, err, platform.OperatorTopic); verdict != storeera.Current {
			continue
		}
		if errors.Is(err, platform.ErrExpired) {
			whole = true
			continue
		}
		if errors.Is(err, context.Canceled) { // by recordStoreFailure or handleStoreRestored
			continue
		}
		if err != nil {
			failures++
			g.startFromCopy(ctx)
			g.backOffRead(ctx, platform.OperatorTopic, failures, err)
			continue
		}
		appended := !whole
		nextOffset, whole, failures = page.End, false, 0
		g.control.recordStoreAnswer()
		var newest platform.KeyedRecord
		for _, r := range page.Records {
			if r.Key == platform.ConfigKey && r.Value != nil {
				newest = r
			}
		}
		if newest.Value != nil {
			g.control.applyStoreConfig(newest.Value, storeera.Record{Era: page.Era, Offset: newest.Offset, Appended: appended})
		} else if len(page.Records) == 0 {
			if appended {
				g.control.confirmPendingConfig(readStart, page.Era)
			}
			if g.view.Load().catalog == nil && !sleep(ctx, emptyTopicPause) {
				return
			}
		}
	}
}

// readTopic reads a keyed topic, either from an offset or as a whole.
func (g *Gateway) readTopic(ctx context.Context, topic string, from uint64, whole bool, wait, limit time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if whole {
		return g.store.Newest(ctx, topic)
	}
	return g.store.ReadKeyed(ctx, topic, from, wait)
}

// backOffRead records a failed read and waits before the next one. The next read continues
// from the same offset; if records expired in the meantime, the store reports it.
func (g *Gateway) backOffRead(ctx context.Context, topic string, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	g.control.recordStoreFailure(topic, err)
	sleep(ctx, storewatch.RetryDelay(failures, *g.storeDuty.Load(), random()))
}

// readConfig reads the operator's topic. The read is cancelled when another call to the store
// fails or the store is restored.
func (g *Gateway) readConfig(ctx context.Context, next uint64, whole bool) (platform.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.cancelOpenConfigRead.Store(&cancel)
	wait := configPollTimeout
	unstable := time.Since(g.started)-time.Duration(g.storeFailedAt.Load()) < storeStablePeriod
	switch {
	case whole: // answered at once, but larger than other answers
		wait = configShortPollTimeout
	case unstable || g.storeDuty.Load().ReadsList:
		wait = configShortPollTimeout
	}
	if until := g.configPendingUntil.Load(); until != nil {
		wait = min(wait, max(time.Until(*until), configConfirmPollTimeout))
	}
	return g.readTopic(ctx, platform.OperatorTopic, next, whole, wait, wait+configReadSlack)
}

// cancelConfigRead ends the read of the configuration that is in progress. Another one follows.
func (g *Gateway) cancelConfigRead() {
	if cancel := g.cancelOpenConfigRead.Load(); cancel != nil {
		(*cancel)()
	}
}

// followUpstreams keeps the list of upstreams up to date until ctx ends. One VM reads the
// topic for all and sends what it read to the others; a VM that gets no listing in time
// reads the topic itself.
func (g *Gateway) followUpstreams(ctx context.Context) {
	f := &listFollower{g: g, Follower: roster.NewFollower(), readTimer: time.NewTimer(0), restoreCount: g.eras.restoreCount()}
	defer f.readTimer.Stop()
	if g.waitsForPeers() {
		f.readTimer.Reset(jitter(startupPeerWait))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case answer := <-g.snapshots:
			answer <- f.snapshot(time.Now())
		case l := <-g.listings:
			g.observePeerEra(l.Era, "listing")
			f.resetOnNewEra()
			f.receiveListing(l)
		case <-f.readTimer.C:
			f.resetOnNewEra()
			f.readList(ctx)
		}
	}
}

// listFollower is the state of followUpstreams.
type listFollower struct {
	*roster.Follower
	g *Gateway
	// readTimer fires when the list must be read from the store.
	readTimer *time.Timer
	// updatedAt is when a listing was last applied.
	updatedAt time.Time
	failures  int
	// restoreCount identifies the copy of the store to which the follower's offset belongs.
	restoreCount storeera.RestoreCount
}

// resetOnNewEra invalidates an offset that belongs to a replaced copy of the store and
// restarts the time until this VM's next own read. The VMs that do not read the list for all
// wait longer, so that they can use its listing instead.
func (f *listFollower) resetOnNewEra() {
	count := f.g.eras.restoreCount()
	if count == f.restoreCount {
		return
	}
	f.restoreCount = count
	f.RecordStoreRestore(f.g.eras.era())
	f.readTimer.Reset(f.g.nextListRead())
}

// snapshot returns the list for a VM that is starting. A list that is too old is not marked
// as whole.
func (f *listFollower) snapshot(now time.Time) roster.Listing {
	l := f.Snapshot()
	l.Whole = l.Whole && now.Sub(f.updatedAt) < maxListAge
	return l
}

// receiveListing applies a listing from another VM.
func (f *listFollower) receiveListing(l roster.Listing) {
	next, _ := f.ReadPosition()
	l, adopted := f.AdoptSnapshot(l)
	switch {
	case adopted || f.ApplyPeerListing(l):
		f.updatedAt = time.Now()
		f.g.applyListing(l, false, nil)
		f.readTimer.Reset(f.g.nextListRead())
	case l.Whole: // already known from an own read
	case l.From > next && f.Initialized(): // a listing was missed
		f.readTimer.Reset(0)
	}
}

// readList reads the upstreams' topic. It skips the read while the store answers nobody and
// other VMs keep trying.
func (f *listFollower) readList(ctx context.Context) {
	if f.Initialized() && f.g.storeDuty.Load().LeavesRetriesToOthers {
		f.readTimer.Reset(f.g.nextListRead())
		return
	}
	again, err := f.g.readUpstreams(ctx, f)
	switch {
	case err != nil:
		f.failures++
		f.g.startFromCopy(ctx)
		f.g.backOffRead(ctx, platform.UpstreamTopic, f.failures, err)
		f.readTimer.Reset(0)
	case again:
		f.readTimer.Reset(0)
	default:
		f.updatedAt, f.failures = time.Now(), 0
		f.readTimer.Reset(f.g.nextListRead())
	}
}

// nextListRead returns the time until this VM's next own read of the upstreams' topic. It is
// randomised so that VMs that miss a listing do not all read at the same moment.
func (g *Gateway) nextListRead() time.Duration {
	if g.storeDuty.Load().ReadsList {
		return listReadInterval
	}
	return listingTimeout + time.Duration(random()*float64(listingTimeout)/8)
}

// readUpstreams reads the upstreams' topic and reports whether it must be read again at
// once.
func (g *Gateway) readUpstreams(ctx context.Context, follower *listFollower) (again bool, err error) {
	next, whole := follower.ReadPosition()
	wasInitialized := follower.Initialized()
	page, err := g.readTopic(ctx, platform.UpstreamTopic, next, whole, 0, storeTimeout)
	if verdict := g.checkCallEra(follower.restoreCount, page.Era, err, platform.UpstreamTopic); verdict != storeera.Current {
		follower.resetOnNewEra()
		return true, nil
	}
	if errors.Is(err, platform.ErrExpired) {
		follower.RequireFullRead()
		return true, nil
	}
	if err != nil {
		return false, err
	}
	g.control.recordStoreAnswer()
	if !wasInitialized {
		g.listReadAtStart.Store(true)
	}
	if follower.Era() == 0 {
		follower.SetEra(page.Era)
	}
	l := follower.ApplyRecords(g.decodeRecords(page), page.End, whole)
	l.Whole = whole && !wasInitialized
	var toPeers *roster.Listing // nil if the other VMs have nothing to apply it to
	switch {
	case l.AfterRestore:
		snapshot := follower.Snapshot()
		toPeers = &snapshot
	case wasInitialized:
		toPeers = &l
	}
	g.applyListing(l, true, toPeers)
	return whole, nil // fetch at once what changed during a read of the whole topic
}

// decodeRecords decodes a page of the upstreams' topic. It skips and counts entries that are
// invalid.
func (g *Gateway) decodeRecords(page platform.Page) []roster.Record {
	records := make([]roster.Record, 0, len(page.Records))
	for _, r := range page.Records {
		if r.Value == nil {
			records = append(records, roster.Record{Upstream: roster.Upstream{ID: fleet.UpstreamID(r.Key)}, Removed: true})
			continue
		}
		u, err := platform.DecodeUpstream(r.Key, r.Value)
		if err != nil { // the entry names no usable server
			g.stats.Count("entries_rejected")
			g.log.Log(event.EntryRejected).Str("upstream", r.Key).Err(err).Send()
			continue
		}
		records = append(records, roster.Record{Upstream: u})
	}
	return records
}

// applyListing passes a listing to the control goroutine. If this VM reads the list for all,
// toPeers is sent to the other VMs; nil sends nothing.
func (g *Gateway) applyListing(l roster.Listing, own bool, toPeers *roster.Listing) {
	g.control.post(func(now time.Time) {
		c := g.control
		if own {
			l.StoreHealthyFor = c.roster.StoreHealthyFor(now)
		} else if now.Sub(c.lastStoreFailure) > peerListingTrustedAfter {
			c.markStoreUp(now, "another VM")
		}
		c.listUpdatedAt = now
		if toPeers != nil && g.storeDuty.Load().ReadsList {
			toPeers.StoreHealthyFor = l.StoreHealthyFor
			c.broadcastListing(*toPeers)
		}
		if !c.listKnown {
			c.listKnown, c.dirty = true, true
		}
		c.listOffset = l.To
		if c.listFromCopy && l.Whole {
			c.listFromCopy = false
			l.Removed = append(l.Removed, c.unlisted(l.Changed)...)
		}
		c.applyRosterChanges(now, c.roster.ApplyListing(now, l, nil))
		for id := range c.reportedLayers { // every entry is as recent as the listing
			c.expireLayerReport(now, id)
		}
	})
}
