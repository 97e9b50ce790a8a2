//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// shopConfig returns a configuration of one plain service with the given keys of its only tenant.
func shopConfig(version int, keys ...string) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "look", "host": "h.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 1500, "response_target_ms": 100, "priority": 2, "service": "shop", "attempts": 2},
			{"name": "book", "host": "h.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500, "response_target_ms": 100, "priority": 2, "service": "shop", "attempts": 1},
		},
		"services": []map[string]any{{"name": "shop", "health_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants":  []map[string]any{{"name": "workshop", "keys": keys}},
	})
	return data
}

const (
	versionBefore, versionBetween, versionNewest = 3, 8, 14
	// keyWithdrawn is missing in the newest version, which adds keyAdded.
	keyAlways, keyWithdrawn, keyAdded = "key-always", "key-withdrawn", "key-added"
	// cutLength is how long one VM is cut off from the store.
	cutLength = 5500 * time.Millisecond
	// rollbackSlack is rollback_slack_ms; the rule allows eight times as much on a slowed VM.
	rollbackSlack = 8 * 250 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
	requestPause  = 60 * time.Millisecond
)

// errNotInForce says that the case could not begin.
var errNotInForce = errors.New("newest configuration did not come into force")

// use is one request with one of the two keys.
type use struct {
	answer
	vm  *vm
	key string
}

// configurationReverts lets the store come back from a copy some seconds old. The operator writes both
// lost versions again, one second apart, and between them one VM is cut off from the store.
func configurationReverts(rec *record, trouble bool) error {
	w, err := newWorld(rec, 4, 544, 8200)
	if err != nil {
		return err
	}
	defer w.close()
	for i, zone := range []string{"a", "b", "c"} {
		if err := w.addPlain(fmt.Sprintf("i-shop-%d", i+1), "shop", zone); err != nil {
			return err
		}
	}
	put := func(version int, keys ...string) {
		w.store.Put("keyed.op", "config", shopConfig(version, keys...))
		rec.note("operator writes version %d with keys %v; the store acknowledges it", version, keys)
	}
	writeBetween := func() { put(versionBetween, keyAlways, keyWithdrawn) }
	writeNewest := func() { put(versionNewest, keyAlways, keyAdded) }
	put(versionBefore, keyAlways, keyWithdrawn)
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)

	copied := w.store.Snapshot()
	rec.note("the store is copied")
	time.Sleep(500 * time.Millisecond)
	writeBetween()
	time.Sleep(time.Second)
	writeNewest()
	time.Sleep(3 * time.Second)
	c := newCaller("before")
	for _, v := range w.vms {
		added, withdrawn := c.send(v, "GET", "/look/x", keyAdded, "", plainDeadline), c.send(v, "GET", "/look/x", keyWithdrawn, "", plainDeadline)
		rec.note("%s: %s answers %d, %s answers %d", v.name, keyAdded, added.status, keyWithdrawn, withdrawn.status)
		if added.status != 200 || withdrawn.status != 401 {
			return errNotInForce
		}
	}

	uses := make(chan use, 100_000)
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i, v := range w.vms {
		callers.Go(func() {
			c := newCaller(fmt.Sprintf("r%d", i+1))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(requestPause):
				}
				key := []string{keyAdded, keyWithdrawn}[n%2]
				a := c.send(v, "GET", "/look/x", key, "", plainDeadline)
				rec.line("%s through %s with %s: status %d, error %v", a.id, v.name, key, a.status, a.err)
				uses <- use{a, v, key}
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		cutOff := w.vms[3]
		w.store.SetDown(true)
		rec.note("drill: the store is away")
		time.Sleep(500 * time.Millisecond)
		w.store.Restore(copied)
		w.store.SetDown(false)
		rec.note("drill: the store is back from the copy, in its next era")
		time.Sleep(1500 * time.Millisecond)
		writeBetween()
		time.Sleep(500 * time.Millisecond)
		w.link.setCut(cutOff.name, true)
		rec.note("%s is partitioned from the store", cutOff.name)
		time.AfterFunc(cutLength, func() {
			w.link.setCut(cutOff.name, false)
			rec.note("%s reaches the store again", cutOff.name)
		})
		time.Sleep(500 * time.Millisecond)
		writeNewest()
	}
	time.Sleep(12 * time.Second)
	close(stop)
	callers.Wait()
	close(uses)
	judgeReverts(w, slices.Collect(func(yield func(use) bool) {
		for u := range uses {
			if !yield(u) {
				return
			}
		}
	}))
	return nil
}

// judgeReverts applies the rule: a VM regresses if a request that was sent more than rollbackSlack after
// a server saw the effect of a version through it is handled as only an older version allows.
func judgeReverts(w *world, uses []use) {
	for _, v := range w.vms {
		var seen time.Time // when a server first ran a request with the added key through this VM
		reverted := 0
		var first, last time.Time
		for _, u := range uses {
			if u.vm == v && u.key == keyAdded && u.status == 200 && seen.IsZero() {
				seen = w.runs.of(u.id)[0].at
			}
		}
		for _, u := range uses {
			if u.vm != v || u.key != keyWithdrawn || seen.IsZero() || u.sentAt.Before(seen.Add(rollbackSlack)) || len(w.runs.of(u.id)) == 0 {
				continue
			}
			if reverted == 0 {
				first = u.sentAt
			}
			last = u.sentAt
			reverted++
		}
		if reverted > 0 {
			w.rec.breaks("%s regressed: servers ran %d requests with %s, sent %.1f s to %.1f s after a server had seen version %d through it",
				v.name, reverted, keyWithdrawn, first.Sub(seen).Seconds(), last.Sub(seen).Seconds(), versionNewest)
		}
	}
}
