//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// oversizeLength is how long the client with prompts that are too long sends, and oversizePause the
	// time between two of its requests to a VM.
	oversizeLength = 30 * time.Second
	oversizePause  = 40 * time.Millisecond
	// oversizeCounts states a prompt that no engine can hold.
	oversizeCounts = "2000000,60"
	// ordinaryPause is the time between two ordinary requests of each kind to a VM.
	ordinaryPause = 150 * time.Millisecond
)

// tooLongPrompts lets one client send prompts that are larger than any server's memory, beside ordinary
// requests that use a small part of the engines.
func tooLongPrompts(rec *record, trouble bool) error {
	w, err := newModelWorld(rec, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	every := func(pause time.Duration, send func(n int)) {
		all.Go(func() {
			var open sync.WaitGroup
			defer open.Wait()
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
					open.Go(func() { send(n) })
				}
			}
		})
	}
	var sent, served [2]atomic.Int64
	c := newCaller("ordinary")
	var refusedOversize atomic.Int64
	for _, v := range w.vms {
		every(ordinaryPause, func(n int) {
			id := fmt.Sprintf("ordinary-%s-%d", v.name, n)
			status, complete := c.generate(v, id, "800,60")
			rec.line("%s: generation through %s: status %d, complete %t", id, v.name, status, complete)
			sent[0].Add(1)
			if status == http.StatusOK && complete {
				served[0].Add(1)
			}
		})
		every(ordinaryPause, func(int) {
			a := c.send(v, "GET", "/look/x", keyAlways, "", plainDeadline)
			rec.line("%s: lookup through %s: status %d", a.id, v.name, a.status)
			sent[1].Add(1)
			if a.status == http.StatusOK {
				served[1].Add(1)
			}
		})
		if trouble {
			every(oversizePause, func(n int) {
				id := fmt.Sprintf("long-%s-%d", v.name, n)
				status, _ := c.generate(v, id, oversizeCounts)
				rec.line("%s: prompt of %s through %s: status %d", id, oversizeCounts, v.name, status)
				if status == http.StatusServiceUnavailable {
					refusedOversize.Add(1)
				}
			})
		}
	}
	time.Sleep(oversizeLength)
	close(stop)
	all.Wait()
	rec.note("%d too long prompts were refused", refusedOversize.Load())
	total := float64(served[0].Load()+served[1].Load()) / float64(sent[0].Load()+sent[1].Load())
	for kind, name := range []string{"generation", "lookup"} {
		share := float64(served[kind].Load()) / float64(sent[kind].Load())
		rec.note("%d of %d ordinary requests of kind %s were served", served[kind].Load(), sent[kind].Load(), name)
		if share < starvedShare*total {
			rec.breaks("%.0f in 100 ordinary requests of kind %s are served, %.0f in 100 of all", 100*share, name, 100*total)
		}
	}
	return nil
}
