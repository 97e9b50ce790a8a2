//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["forgotten-crashes"] = forgottenCrashes }

const (
	// comingGap is the time between two comings of the crashing request.
	comingGap = 4 * time.Second
	// comingsBetweenStops is how often it comes between two rounds of planned stops.
	comingsBetweenStops = 2
	// stopRounds is the number of rounds in which all machines are stopped in turn.
	stopRounds = 3
	// serversOfShop is the number of servers of the plain service.
	serversOfShop = 5
)

// forgottenCrashes: one request crashes each server that begins to run it, and comes again every
// few seconds; meanwhile the platform stops and starts the machines in turn, as for an upgrade.
// TROUBLE=0 leaves the stops out; the request comes as often.
func forgottenCrashes(rec *recorder) (int, string) {
	w, err := newWorld(rec, worldOptions{vms: 4, events: 30, interval: 20 * time.Millisecond, engines: 3})
	if err != nil {
		return cannotRun, err.Error()
	}
	defer w.close()
	var mu sync.Mutex
	var crashes []time.Time
	var arrivals []arrival
	lost := 0
	for i := range serversOfShop {
		s, err := newCrashable(w, fmt.Sprintf("s%d", i), zones[i%len(zones)])
		if err != nil {
			return cannotRun, err.Error()
		}
		isCrashing := func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/book/crash") }
		s.crashes = isCrashing
		s.onArrival = func(s *crashable, r *http.Request) {
			if isCrashing(r) {
				mu.Lock()
				arrivals = append(arrivals, arrival{time.Now(), r.Header.Get("Request-Id")})
				rec.log("server %s: the request arrives as %s, arrival %d", s.name, r.Header.Get("Request-Id"), len(arrivals))
				mu.Unlock()
			}
		}
		s.onCrash = func(s *crashable, r *http.Request) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			rec.log("server %s crashes, crash %d", s.name, len(crashes))
			mu.Unlock()
		}
	}
	w.startVMs()
	if !w.awaitReady(10 * time.Second) {
		return cannotRun, "the VMs did not become ready"
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 12 { // sound traffic
		clients.Go(func() {
			d := &directoryClient{w: w, patience: 1, http: newClient()}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if address := d.address(); address != "" {
					kind := []string{"look", "book"}[n%2]
					if a := w.send(d.http, address, w.nextID(kind), kind, "", 2*time.Second); a.isLost() {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				}
			}
		})
	}
	d := &directoryClient{w: w, patience: 1}
	for round := range stopRounds + 1 {
		for range comingsBetweenStops {
			rec.log("the request comes")
			if address := d.address(); address != "" {
				w.sendPath(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, address, w.nextID("crash"), http.MethodPost, "/book/crash?item=7", "", 2*time.Second)
			}
			time.Sleep(comingGap)
		}
		if round == stopRounds {
			break
		}
		if w.trouble {
			for _, v := range w.vms {
				rec.log("%s gets SIGTERM", v.name)
				v.terminate()
				time.Sleep(stopGap)
			}
		} else {
			time.Sleep(time.Duration(len(w.vms)) * stopGap)
		}
		time.Sleep(4 * time.Second) // the last one has ended
		if !w.awaitReady(10 * time.Second) {
			return cannotRun, "the VMs did not become ready again"
		}
		time.Sleep(settleWindow + 500*time.Millisecond)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return cannotRun, fmt.Sprintf("only %d crashes", len(crashes))
	}
	late := 0
	for _, a := range arrivals {
		if a.at.Sub(crashes[2]) > settleWindow {
			late++
			rec.log("%s reached a server %.1f s after the third crash", a.id, a.at.Sub(crashes[2]).Seconds())
		}
	}
	text := fmt.Sprintf("%d crashes, %d arrivals, %d of them later than %v after the third crash, by machines in touch (3 are allowed); %d other requests lost after they had run", len(crashes), len(arrivals), late, settleWindow, lost)
	if late > 3 {
		return broken, text
	}
	return held, text
}
