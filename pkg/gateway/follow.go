package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

const (
	// configWait is how long a read of the operator's topic stays open. A change is
	// answered at once; a connection that went silent is noticed after it and
	// configTimeout, within the 3 s that the platform allows.
	configWait    = 2000 * time.Millisecond
	configTimeout = 2600 * time.Millisecond
	// upstreamInterval is the time between two reads of the upstreams' topic. Many
	// entries are gathered in one read, because calls to the store are priced; a
	// draining upstream must get no work after 2 s.
	upstreamInterval = 1000 * time.Millisecond
	// upstreamFewVMs is the fleet above which the interval grows up to
	// upstreamMaxInterval, so that the store's rate is not spent on reads.
	upstreamFewVMs      = 16
	upstreamMaxInterval = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store, whose answer usually takes 4 ms; on a
	// slow day it takes 60 times as long.
	storeTimeout = 1500 * time.Millisecond
	// storeRetry is the pause after a failed call.
	storeRetry = 300 * time.Millisecond
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

// topicReader follows a keyed topic.
type topicReader struct {
	g     *Gateway
	topic string
	// next is the offset to read from; whole is set when the topic must be read whole.
	next  uint64
	whole bool
}

// read returns the news of the topic. all says that the page holds the newest
// record of every key.
func (t *topicReader) read(ctx context.Context, wait, limit time.Duration) (page platform.Page, all bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if t.whole {
		if page, err = t.g.store.Newest(ctx, t.topic); err != nil {
			return page, false, err
		}
		t.next, t.whole = page.End, false
		return page, true, nil
	}
	page, err = t.g.store.ReadKeyed(ctx, t.topic, t.next, wait)
	if errors.Is(err, platform.ErrExpired) {
		t.whole = true
		return platform.Page{}, false, nil
	}
	if err == nil {
		t.next = page.End
	}
	return page, false, err
}

// followConfig keeps the configuration up to date until ctx ends.
func (g *Gateway) followConfig(ctx context.Context) {
	reader := &topicReader{g: g, topic: platform.OperatorTopic, whole: true}
	for ctx.Err() == nil {
		page, _, err := reader.read(ctx, configWait, configTimeout)
		if err != nil {
			g.readFailed(ctx, reader, err)
			continue
		}
		g.control.storeAnswered()
		var newest []byte
		for _, r := range page.Records {
			if r.Key == platform.ConfigKey && r.Value != nil {
				newest = r.Value
			}
		}
		if newest != nil {
			g.control.configRead(newest, "store")
		} else if len(page.Records) == 0 && g.view.Load().catalog == nil && !pause(ctx, storeRetry) {
			return
		}
	}
}

// followUpstreams keeps the list of upstreams up to date until ctx ends.
func (g *Gateway) followUpstreams(ctx context.Context) {
	reader := &topicReader{g: g, topic: platform.UpstreamTopic, whole: true}
	for ctx.Err() == nil {
		page, all, err := reader.read(ctx, 0, storeTimeout)
		if err != nil {
			g.readFailed(ctx, reader, err)
			continue
		}
		g.control.storeAnswered()
		g.upstreamsRead(page, all)
		if reader.whole || all {
			continue
		}
		interval := min(upstreamMaxInterval, upstreamInterval*time.Duration(max(1, g.view.Load().vms/upstreamFewVMs)))
		if !pause(ctx, interval) {
			return
		}
	}
}

// readFailed notes a failed read and waits before the next one, which goes on from
// the same offset: a topic whose records expired meanwhile says so.
func (g *Gateway) readFailed(ctx context.Context, reader *topicReader, err error) {
	if ctx.Err() != nil {
		return
	}
	g.control.storeFailed(reader.topic, err)
	pause(ctx, storeRetry)
}

// upstreamsRead hands entries of upstreams to the control goroutine.
func (g *Gateway) upstreamsRead(page platform.Page, all bool) {
	type entry struct {
		upstream roster.Upstream
		id       fleet.UpstreamID
		removed  bool
	}
	entries := make([]entry, 0, len(page.Records))
	for _, r := range page.Records {
		if r.Value == nil {
			entries = append(entries, entry{id: fleet.UpstreamID(r.Key), removed: true})
			continue
		}
		u, err := platform.DecodeUpstream(r.Key, r.Value)
		if err != nil { // an entry of another writer names no server to use
			g.stats.Count("entries_rejected")
			g.log.Log(event.EntryRejected).Str("upstream", r.Key).Err(err).Send()
			continue
		}
		entries = append(entries, entry{upstream: u, id: u.ID})
	}
	g.control.post(func(now time.Time) {
		c := g.control
		var changes []roster.Change
		if all {
			list := make([]roster.Upstream, 0, len(entries))
			for _, e := range entries {
				if !e.removed {
					list = append(list, e.upstream)
				}
			}
			changes = c.roster.Replace(now, list, nil)
			for _, u := range list {
				c.entryRead(now, u.ID)
			}
			c.listed, c.dirty = true, true
		} else {
			for _, e := range entries {
				if e.removed {
					changes = c.roster.Remove(now, e.id, changes)
				} else {
					changes = c.roster.Put(e.upstream, changes)
					c.entryRead(now, e.id)
				}
			}
		}
		c.upstreamsChanged(now, changes)
	})
}
