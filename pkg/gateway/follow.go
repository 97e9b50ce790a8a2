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
	// configWait is how long a read of the operator's topic stays open. A change is
	// answered at once. A connection that went silent ends by its keep-alive probes,
	// and other VMs tell of a newer configuration.
	configWait = 20 * time.Second
	// configShortWait is the same while the store has not been sound for storeCalm. A read
	// that is open when the store falls silent is never answered: it ends when another
	// call of this VM fails, at the latest after the wait and configMargin.
	configShortWait = 2000 * time.Millisecond
	configMargin    = 600 * time.Millisecond
	storeCalm       = 10 * time.Second
	// watchPause is the interval at which a VM that learns of the configuration from
	// others finds out whether it is to read it itself.
	watchPause = 200 * time.Millisecond
	// upstreamInterval is the time between two reads of the upstreams' topic by the
	// VM that reads it for all. Many entries are gathered in one read, because calls
	// to the store are priced; a draining upstream must get no work after 2 s.
	upstreamInterval = 1000 * time.Millisecond
	// listingLate is the time without a listing of another VM after which a VM reads
	// the topic itself; it leaves time for that read within the 2 s above. A list is
	// offered to a VM that starts while it is not older than listFresh.
	listingLate = 1500 * time.Millisecond
	listFresh   = 2 * listingLate
	// listingQueue bounds the listings that wait to be taken in.
	listingQueue = 16
	// storeTimeout bounds a call to the store, whose answer usually takes 4 ms; on a
	// slow day it takes 60 times as long.
	storeTimeout = 1500 * time.Millisecond
	// startWait is how long a VM that starts waits for what other VMs know before it
	// asks the store itself: several intervals of their news. VMs that others join
	// through do not wait, so that after a stop of all VMs some read at once.
	startWait = 1200 * time.Millisecond
	// heardStoreAfter is the time since an own failed call after which a listing of
	// another VM counts as a sign that the store answers this VM too.
	heardStoreAfter = 4 * time.Second
	// emptyPause is the pause after a read of a topic that holds no configuration yet.
	emptyPause = 300 * time.Millisecond
)

// pause waits and reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// asksPeersFirst reports whether this VM waits for what others know when it starts.
func (g *Gateway) asksPeersFirst() bool { return len(g.settings.Seeds) > 0 && !g.settings.IsSeed }

// followConfig keeps the configuration up to date until ctx ends. Some VMs read it from
// the store; the others learn of it from them.
func (g *Gateway) followConfig(ctx context.Context) {
	var next uint64
	whole := true
	failures := 0
	mark := g.eras.mark()
	if g.asksPeersFirst() {
		until := time.Now().Add(spread(startWait))
		for g.view.Load().catalog == nil && time.Now().Before(until) {
			pause(ctx, watchPause/2)
		}
	}
	for ctx.Err() == nil {
		if !g.duty.Load().Watches && g.view.Load().catalog != nil {
			pause(ctx, watchPause)
			continue
		}
		if now := g.eras.mark(); now != mark { // offsets of another copy of the store
			mark, whole = now, true
		}
		page, err := g.readConfig(ctx, next, whole)
		if verdict := g.judgeCall(mark, page.Era, err, platform.OperatorTopic); verdict != storeera.Current {
			continue
		}
		if errors.Is(err, platform.ErrExpired) {
			whole = true
			continue
		}
		if errors.Is(err, context.Canceled) { // by storeFailed
			continue
		}
		if err != nil {
			failures++
			g.readFailed(ctx, platform.OperatorTopic, failures, err)
			continue
		}
		appended := !whole
		next, whole, failures = page.End, false, 0
		g.control.storeAnswered()
		var newest platform.KeyedRecord
		for _, r := range page.Records {
			if r.Key == platform.ConfigKey && r.Value != nil {
				newest = r
			}
		}
		if newest.Value != nil {
			g.control.configRead(newest.Value, storeera.Record{Era: page.Era, Offset: newest.Offset, Appended: appended})
		} else if len(page.Records) == 0 && g.view.Load().catalog == nil && !pause(ctx, emptyPause) {
			return
		}
	}
}

// readTopic reads a keyed topic from an offset on or whole.
func (g *Gateway) readTopic(ctx context.Context, topic string, from uint64, whole bool, wait, limit time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if whole {
		return g.store.Newest(ctx, topic)
	}
	return g.store.ReadKeyed(ctx, topic, from, wait)
}

// readFailed notes a failed read and waits before the next one, which goes on from
// the same offset: a topic whose records expired meanwhile says so.
func (g *Gateway) readFailed(ctx context.Context, topic string, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	g.control.storeFailed(topic, err)
	pause(ctx, storewatch.RetryPause(failures, *g.duty.Load(), random()))
}

// readConfig reads the operator's topic. The read ends early when another call to the
// store fails.
func (g *Gateway) readConfig(ctx context.Context, next uint64, whole bool) (platform.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.endConfigRead.Store(&cancel)
	wait := configWait
	if time.Since(g.started)-time.Duration(g.storeFailedAt.Load()) < storeCalm {
		wait = configShortWait
	}
	return g.readTopic(ctx, platform.OperatorTopic, next, whole, wait, wait+configMargin)
}

// followUpstreams keeps the list of upstreams up to date until ctx ends. One VM
// reads the topic for all and tells the others; each reads it itself when it does not
// hear of it in time.
func (g *Gateway) followUpstreams(ctx context.Context) {
	f := &listFollower{g: g, Follower: roster.NewFollower(), late: time.NewTimer(0), mark: g.eras.mark()}
	defer f.late.Stop()
	if g.asksPeersFirst() {
		f.late.Reset(spread(startWait))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case answer := <-g.snapshots:
			answer <- f.snapshot(time.Now())
		case l := <-g.listings:
			g.heardEra(l.Era, "listing")
			f.followEra()
			f.hear(l)
		case <-f.late.C:
			f.followEra()
			f.read(ctx)
		}
	}
}

// listFollower is the state of followUpstreams.
type listFollower struct {
	*roster.Follower
	g *Gateway
	// late fires when the list must be read from the store.
	late *time.Timer
	// taken is when a listing was last taken in.
	taken    time.Time
	failures int
	// mark is that of the copy of the store to which the follower's offset belongs.
	mark storeera.Mark
}

// followEra drops the offset of a copy of the store that is no more. The VM that reads the
// list for all does so at once; the others wait for what it finds.
func (f *listFollower) followEra() {
	now := f.g.eras.mark()
	if now == f.mark {
		return
	}
	f.mark = now
	f.Restored(f.g.eras.era())
	f.late.Reset(f.g.listingWait())
}

// snapshot returns the list for a VM that starts; an old one is not whole.
func (f *listFollower) snapshot(now time.Time) roster.Listing {
	l := f.Snapshot()
	l.Whole = l.Whole && now.Sub(f.taken) < listFresh
	return l
}

// hear takes in a listing of another VM.
func (f *listFollower) hear(l roster.Listing) {
	next, _ := f.Next()
	l, adopted := f.Adopt(l)
	switch {
	case adopted || f.Hear(l):
		f.taken = time.Now()
		f.g.take(l, false, nil)
		f.late.Reset(f.g.listingWait())
	case l.Whole: // an own read came first
	case l.From > next && f.Begun(): // one was missed
		f.late.Reset(0)
	}
}

// read reads the upstreams' topic, unless the store answers nobody and others go on
// asking it.
func (f *listFollower) read(ctx context.Context) {
	if f.Begun() && f.g.duty.Load().OthersTry {
		f.late.Reset(f.g.listingWait())
		return
	}
	again, err := f.g.readUpstreams(ctx, f)
	switch {
	case err != nil:
		f.failures++
		f.g.readFailed(ctx, platform.UpstreamTopic, f.failures, err)
		f.late.Reset(0)
	case again:
		f.late.Reset(0)
	default:
		f.taken, f.failures = time.Now(), 0
		f.late.Reset(f.g.listingWait())
	}
}

// listingWait returns the time to the next own read of the upstreams' topic. VMs that
// miss a listing do not all read at the same moment.
func (g *Gateway) listingWait() time.Duration {
	if g.duty.Load().ReadsList {
		return upstreamInterval
	}
	return listingLate + time.Duration(random()*float64(listingLate)/8)
}

// readUpstreams reads the upstreams' topic and reports whether it must be read again at
// once.
func (g *Gateway) readUpstreams(ctx context.Context, follower *listFollower) (again bool, err error) {
	next, whole := follower.Next()
	begun := follower.Begun()
	page, err := g.readTopic(ctx, platform.UpstreamTopic, next, whole, 0, storeTimeout)
	if verdict := g.judgeCall(follower.mark, page.Era, err, platform.UpstreamTopic); verdict != storeera.Current {
		follower.followEra()
		return true, nil
	}
	if errors.Is(err, platform.ErrExpired) {
		follower.Expired()
		return true, nil
	}
	if err != nil {
		return false, err
	}
	g.control.storeAnswered()
	if follower.Era() == 0 {
		follower.SetEra(page.Era)
	}
	l := follower.Read(g.decodeEntries(page), page.End, whole)
	var told *roster.Listing // others have only what was read before
	switch {
	case l.Copied:
		snapshot := follower.Snapshot()
		told = &snapshot
	case begun:
		told = &l
	}
	g.take(l, true, told)
	return whole, nil // what changed while the whole topic was read follows at once
}

// decodeEntries decodes a page of the upstreams' topic.
func (g *Gateway) decodeEntries(page platform.Page) []roster.Entry {
	entries := make([]roster.Entry, 0, len(page.Records))
	for _, r := range page.Records {
		if r.Value == nil {
			entries = append(entries, roster.Entry{Upstream: roster.Upstream{ID: fleet.UpstreamID(r.Key)}, Removed: true})
			continue
		}
		u, err := platform.DecodeUpstream(r.Key, r.Value)
		if err != nil { // an entry of another writer names no server to use
			g.stats.Count("entries_rejected")
			g.log.Log(event.EntryRejected).Str("upstream", r.Key).Err(err).Send()
			continue
		}
		entries = append(entries, roster.Entry{Upstream: u})
	}
	return entries
}

// take hands a listing to the control goroutine. What is told of one that was read here
// goes to the other VMs if this VM reads for all.
func (g *Gateway) take(l roster.Listing, own bool, told *roster.Listing) {
	g.control.post(func(now time.Time) {
		c := g.control
		if own {
			l.SoundFor = c.roster.SoundFor(now)
		} else if now.Sub(c.failedAt) > heardStoreAfter {
			c.storeIsBack(now, "another VM")
		}
		c.listedAt = now
		if told != nil && g.duty.Load().ReadsList {
			told.SoundFor = l.SoundFor
			c.tellListing(*told)
		}
		if !c.listed {
			c.listed, c.dirty = true, true
		}
		c.upstreamsChanged(now, c.roster.Take(now, l, nil))
		for id := range c.layers { // every entry is as new as the listing
			c.entryRead(now, id)
		}
	})
}
