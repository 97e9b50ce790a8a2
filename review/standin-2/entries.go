//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// foreignEntries lets another writer add entries to the list of servers. Their service is one that no
// configuration names, and their addresses are those of the servers of the plain service.
func foreignEntries(rec *record, trouble bool) error {
	w, err := newModelWorld(rec, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	if trouble {
		for i, address := range w.plainAddresses {
			entry, _ := json.Marshal(map[string]any{
				"service": "backup-agent", "address": address, "zone": "a", "version": "1", "slots": 6, "state": "ready", "cold_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			id := fmt.Sprintf("x-agent-%d", i+1)
			w.store.Put("keyed.servers", id, entry)
			rec.note("another writer adds %s: %s", id, entry)
		}
	}
	rec.note("calm")
	time.Sleep(15 * time.Second)
	judgeStarved(w, newTally())
	return nil
}

// bookings is the number of bookings that are sent through each VM, and bookingPause the time between
// two of them.
const (
	bookings     = 60
	bookingPause = 100 * time.Millisecond
)

// incompleteEntry lets another writer add an entry whose fields are missing but for service, address, zone
// and state. At its address answers a web server that knows nothing of the platform.
func incompleteEntry(rec *record, trouble bool) error {
	w, err := newModelWorld(rec, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	address, err := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rec.line("the web server gets %s %s, Request-Id %q, Tenant %q, %d bytes", r.Method, r.RequestURI, r.Header.Get("Request-Id"), r.Header.Get("Tenant"), r.ContentLength)
		http.NotFound(rw, r)
	}))
	if err != nil {
		return err
	}
	if trouble {
		entry, _ := json.Marshal(map[string]any{"service": "shop", "address": address, "zone": "a", "state": "ready"})
		w.store.Put("keyed.servers", "x-page", entry)
		rec.note("another writer adds x-page: %s", entry)
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sent, denied, unsigned := 0, 0, 0
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			c := newCaller("book-" + v.name)
			for range bookings {
				a := c.send(v, "POST", "/book/x", keyAlways, "a slot", plainDeadline)
				rec.line("%s: booking through %s: status %d, signature %q, ran %d times, body %.40q", a.id, v.name, a.status, a.header.Get("Response-Signature"), len(w.runs.of(a.id)), a.body)
				mu.Lock()
				sent++
				if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
					denied++
					if a.header.Get("Response-Signature") == "" {
						unsigned++
					}
				}
				mu.Unlock()
				time.Sleep(bookingPause)
			}
		})
	}
	all.Wait()
	rec.note("of %d proper bookings %d were ended with a 3xx or 4xx, %d of them without the signature of a server", sent, denied, unsigned)
	if allowed := 5 + sent/500; unsigned > allowed {
		rec.breaks("%d of %d proper bookings were denied, %d are allowed", unsigned, sent, allowed)
	}
	return nil
}
