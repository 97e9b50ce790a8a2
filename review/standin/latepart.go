//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-part"] = latePart }

const (
	// soundParts is the number of sound parts before the crashing one.
	soundParts = 300
	// crashingPart is the ID of the part that crashes engines.
	crashingPart = "bad0c0de"
	// partGap is the time between two requests with that part.
	partGap = 1500 * time.Millisecond
)

// latePart: one part of long prompts crashes each engine that begins to write an answer on it.
func latePart(rec *recorder) (int, string) {
	var w *world
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	o := worldOptions{vms: 4, engines: 8, plain: 3, events: 30, interval: 20 * time.Millisecond, editConfig: func(c map[string]any) {
		e := c["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
		e["kinds"].([]any)[0].(map[string]any)["megabytes"] = 1500 // an engine holds all layers
	}}
	o.onEngine = func(e *engineServer) {
		h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.Header.Get("Prompt-Prefix"), ","+crashingPart+":") || r.Header.Get("Expected-Instance") != e.ID {
				e.Engine.ServeHTTP(rw, r)
				return
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			rec.log("engine %s: a request with the part arrives as %s, arrival %d", e.ID, r.Header.Get("Request-Id"), len(arrivals))
			mu.Unlock()
			if !w.trouble {
				e.Engine.ServeHTTP(rw, r)
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			rec.log("engine %s crashes, crash %d", e.ID, len(crashes))
			mu.Unlock()
			rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			rw.Header().Set("Response-Signature", e.ID+"."+r.Header.Get("Request-Id"))
			rw.Header().Set("Content-Type", "text/event-stream")
			rw.WriteHeader(http.StatusOK)
			rw.(http.Flusher).Flush()
			w.crashEngine(e, 3*time.Second, o)
			panic(http.ErrAbortHandler)
		})
		e.wrap.Store(&h)
	}
	var err error
	if w, err = newWorld(rec, o); err != nil {
		return cannotRun, err.Error()
	}
	defer w.close()
	for _, e := range w.engines {
		o.onEngine(e)
	}
	w.startVMs()
	if !w.awaitReady(10 * time.Second) {
		return cannotRun, "the VMs did not become ready"
	}
	time.Sleep(5 * time.Second)
	// prompt returns parts of which all but the last are shared, and one is the crashing one.
	prompt := func(id string, crashing bool) string {
		var b strings.Builder
		for i := range soundParts {
			fmt.Fprintf(&b, "%08x:3,", 0x5c1e0000+i)
		}
		if crashing {
			fmt.Fprintf(&b, "%s:3,", crashingPart)
		}
		n := 0
		for _, c := range id {
			n = n*31 + int(c)
		}
		fmt.Fprintf(&b, "%08x:20", uint32(n))
		return b.String()
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	served, sent, lost := 0, 0, 0
	for i := range 4 {
		clients.Go(func() {
			c := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id := w.nextID("gen")
				a := w.sendPath(c, w.vms[(i+n)%4].front(), id, http.MethodPost, "/gen/"+id, prompt(id, false), 10*time.Second)
				mu.Lock()
				sent++
				if a.status == http.StatusOK && a.complete {
					served++
				}
				if a.isLost() {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	var crashing sync.WaitGroup
	for n := range 16 {
		crashing.Go(func() {
			id := w.nextID("part")
			w.sendPath(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, w.vms[n%4].front(), id, http.MethodPost, "/gen/"+id, prompt(id, true), 10*time.Second)
		})
		time.Sleep(partGap)
	}
	crashing.Wait()
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if w.trouble && len(crashes) < 5 {
		return held, fmt.Sprintf("%d crashes, %d arrivals; the rule counts from the fifth crash on", len(crashes), len(arrivals))
	}
	late := 0
	for _, at := range arrivals {
		if w.trouble && at.Sub(crashes[4]) > settleWindow {
			late++
		}
	}
	text := fmt.Sprintf("%d crashes, %d arrivals of requests with the part, %d of them later than %v after the fifth crash (3 are allowed); of %d other requests %d were served and %d lost after they had begun", len(crashes), len(arrivals), late, settleWindow, sent, served, lost)
	if late > 3 {
		return broken, text
	}
	return held, text
}
