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
	before := lookups(w, "before")
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
	rec.note("calm; %d of %d lookups were served before", before, len(w.vms)*singleRequests)
	time.Sleep(15 * time.Second)
	judgeCalm(w)
	return nil
}

// lookups sends single lookups through each VM and returns how many were served.
func lookups(w *world, prefix string) int {
	c := newCaller(prefix)
	var mu sync.Mutex
	served := 0
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			for range singleRequests {
				a := c.send(v, "GET", "/look/x", keyAlways, "", plainDeadline)
				w.rec.line("%s: lookup through %s: status %d", a.id, v.name, a.status)
				mu.Lock()
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return served
}
