//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainServers is the number of servers of the plain service.
const plainServers = 5

func init() { cases["crashing-request"] = crashingRequest }

// settleWindow is settle_window_ms of the settings.
const settleWindow = 3 * time.Second

// arrival is an arrival of the crashing request at a server.
type arrival struct {
	at time.Time
	id string // of the client's attempt
}

// crashingRequest: one request crashes each server that begins to run it, and comes again at any
// machine with the same path, caller and body. RULES.md allows three retries that reach servers
// later than settle_window_ms after the third crash.
func crashingRequest(rec *recorder) (int, string) {
	w, err := newWorld(rec, worldOptions{vms: 4, memoryMB: 0, events: 30, interval: 20 * time.Millisecond, engines: 3})
	if err != nil {
		return cannotRun, err.Error()
	}
	defer w.close()
	var mu sync.Mutex
	var crashes []time.Time
	var arrivals []arrival
	var list []*crashable
	for i := range plainServers {
		s, err := newCrashable(w, fmt.Sprintf("s%d", i), zones[i%len(zones)])
		if err != nil {
			return cannotRun, err.Error()
		}
		isCrashing := func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/look/crash") }
		s.crashes = func(r *http.Request) bool { return w.trouble && isCrashing(r) }
		s.onArrival = func(s *crashable, r *http.Request) {
			if !isCrashing(r) {
				return
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), r.Header.Get("Request-Id")})
			n := len(arrivals)
			mu.Unlock()
			rec.log("server %s: the request arrives as %s, arrival %d", s.name, r.Header.Get("Request-Id"), n)
		}
		s.onCrash = func(s *crashable, r *http.Request) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			rec.log("server %s crashes, crash %d", s.name, n)
		}
		list = append(list, s)
	}
	w.startVMs()
	if !w.awaitReady(10 * time.Second) {
		return cannotRun, "the VMs did not become ready"
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, sent, lost int
	for i := range 12 { // sound traffic
		clients.Go(func() {
			c := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				kind := []string{"look", "book"}[n%2]
				a := w.send(c, w.vms[(i+n)%4].front(), w.nextID(kind), kind, "", 2*time.Second)
				mu.Lock()
				sent++
				if a.status == 200 && a.complete {
					served++
				}
				if a.isLost() {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)       // the machines have been calm for settle_window_ms
	comesAgain := func(machine int) { // the request and the client's one retry, on a new connection
		for try := range 2 {
			a := w.sendPath(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, w.vms[(machine+try)%4].front(), w.nextID("crash"), http.MethodGet, "/look/crash?item=7", "", 2*time.Second)
			if a.status == 200 {
				return
			}
		}
	}
	for round := range 5 {
		rec.log("the request comes, time %d", round+1)
		comesAgain(round)
		comesAgain(round + 2)
		time.Sleep(5500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if w.trouble && len(crashes) < 3 {
		return cannotRun, fmt.Sprintf("only %d crashes", len(crashes))
	}
	late := 0
	attempts := make(map[string]bool)
	for _, a := range arrivals {
		if len(crashes) >= 3 && a.at.Sub(crashes[2]) > settleWindow {
			late++
			attempts[a.id] = true
		}
	}
	text := fmt.Sprintf("%d crashes, %d arrivals; later than %v after the third crash: %d arrivals, in %d retries of clients (3 are allowed); of %d other requests %d were served and %d lost after they had run", len(crashes), len(arrivals), settleWindow, late, len(attempts), sent, served, lost)
	if late > 3 && len(attempts) > 3 {
		return broken, text
	}
	return held, text
}
