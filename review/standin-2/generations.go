//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// modelConfig returns a configuration of a model service and a plain service.
func modelConfig() []byte {
	return userplatform.Operator{Version: 3, Timeout: 1500 * time.Millisecond, StreamAttempts: 2, Keys: []string{keyAlways}}.Config()
}

// generationDeadline is how long callers wait for a generation.
const generationDeadline = 4 * time.Second

// generate sends a generation; id and counts may be empty. It returns the status, 0 for none, and
// whether the stream was complete.
func (c *caller) generate(v *vm, id, counts string) (status int, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), generationDeadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+v.front+"/gen/x", strings.NewReader("draft"))
	if err != nil {
		return 0, false
	}
	r.GetBody = nil
	userplatform.CallerRequest{ID: id, Key: keyAlways, Deadline: generationDeadline}.SetHeaders(r)
	if id == "" {
		r.Header.Del("Request-Id")
	}
	r.Header.Set("Token-Counts", counts)
	r.Header.Set("Model", "m")
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && string(body) == userplatform.Stream(1, eventsOfStream)
}

// newModelWorld starts count VMs, the engines and three servers of the plain service.
func newModelWorld(rec *record, count int) (*world, error) {
	w, err := newWorld(rec, count, 544, 8200)
	if err != nil {
		return nil, err
	}
	for i, zone := range []string{"a", "b", "c"} {
		if err := w.addPlain(fmt.Sprintf("i-shop-%d", i+1), "shop", zone); err != nil {
			return w, err
		}
	}
	if err := w.addEngines(); err != nil {
		return w, err
	}
	w.store.Put("keyed.op", "config", modelConfig())
	if err := w.startAll(); err != nil {
		return w, err
	}
	time.Sleep(5 * time.Second)
	return w, nil
}

const (
	// singleRequests is the number of ordinary requests of each kind that are sent through each VM in
	// calm, one after the other.
	singleRequests = 12
	// starvedShare is the share of all requests' success below which a kind of request counts as
	// starved (RULES.md, The gate).
	starvedShare = 0.25
)

// tally counts the requests of a run by kind, and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func newTally() *tally { return &tally{sent: map[string]int{}, served: map[string]int{}} }

func (t *tally) add(kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[kind]++
	if served {
		t.served[kind]++
	}
}

// judgeStarved sends single ordinary requests of both kinds through each VM and then applies the rule to
// all requests of the run that bear an id: a kind of request is starved if it is served less than a quarter
// as often as all requests.
func judgeStarved(w *world, t *tally) {
	c := newCaller("calm")
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			here := map[string]int{}
			for n := range singleRequests {
				id := fmt.Sprintf("calm-%s-%d", v.name, n)
				status, complete := c.generate(v, id, "800,60")
				w.rec.line("%s: generation through %s: status %d, complete %t", id, v.name, status, complete)
				served := status == http.StatusOK && complete
				t.add("generation", served)
				if served {
					here["generation"]++
				}
				a := c.send(v, "GET", "/look/x", keyAlways, "", plainDeadline)
				w.rec.line("%s: lookup through %s: status %d", a.id, v.name, a.status)
				t.add("lookup", a.status == http.StatusOK)
				if a.status == http.StatusOK {
					here["lookup"]++
				}
			}
			w.rec.note("in calm, %s served %d of %d generations and %d of %d lookups; ready: %t", v.name, here["generation"], singleRequests, here["lookup"], singleRequests, isReady(v))
		})
	}
	all.Wait()
	total := float64(t.served["generation"]+t.served["lookup"]) / float64(t.sent["generation"]+t.sent["lookup"])
	for _, kind := range []string{"generation", "lookup"} {
		share := float64(t.served[kind]) / float64(t.sent[kind])
		w.rec.note("in the whole run %d of %d requests of kind %s were served", t.served[kind], t.sent[kind], kind)
		if share < starvedShare*total {
			w.rec.breaks("%.0f in 100 requests of kind %s are served, %.0f in 100 of all", 100*share, kind, 100*total)
		}
	}
}

// oddRequests is the number of requests that state a prompt of the largest integer, to each VM.
const oddRequests = 10

// oddTokenCounts lets a client state a prompt that is larger than any server's memory.
func oddTokenCounts(rec *record, trouble bool) error {
	w, err := newModelWorld(rec, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	c, t := newCaller("odd"), newTally()
	counts := "800,60"
	if trouble {
		counts = "9223372036854775807,60"
	}
	rec.note("a client sends %d requests with Token-Counts %s to each VM", oddRequests, counts)
	for n := range oddRequests {
		var all sync.WaitGroup
		for _, v := range w.vms {
			all.Go(func() {
				id := fmt.Sprintf("odd-%s-%d", v.name, n)
				status, complete := c.generate(v, id, counts)
				rec.line("%s through %s: status %d, complete %t", id, v.name, status, complete)
				t.add("generation", status == http.StatusOK && complete)
			})
		}
		all.Wait()
	}
	rec.note("calm")
	time.Sleep(10 * time.Second)
	judgeStarved(w, t)
	return nil
}

const (
	// anonymousLength is how long requests come, and anonymousRate their number a second, over all VMs: fewer
	// than the 70 a second that the site has in usual traffic.
	anonymousLength = 20 * time.Second
	anonymousRate   = 60
)

// requestsWithoutID lets callers send generations without a Request-Id, and ordinary ones afterwards.
func requestsWithoutID(rec *record, trouble bool) error {
	w, err := newModelWorld(rec, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	c, t := newCaller("crowd"), newTally()
	rec.note("%d generations a second come for %v, to the VMs in turn; without a Request-Id: %t", anonymousRate, anonymousLength, trouble)
	var all sync.WaitGroup
	var answered, unanswered atomic.Int64
	pause := time.NewTicker(time.Second / anonymousRate)
	defer pause.Stop()
	end := time.Now().Add(anonymousLength)
	for n := 0; time.Now().Before(end); n++ {
		<-pause.C
		all.Go(func() {
			id, v := fmt.Sprintf("early-%d", n), w.vms[n%len(w.vms)]
			if trouble {
				id = ""
			}
			status, complete := c.generate(v, id, "800,60")
			rec.line("request %d through %s, id %q: status %d, complete %t", n, v.name, id, status, complete)
			if id != "" {
				t.add("generation", status == http.StatusOK && complete)
			}
			if status != 0 {
				answered.Add(1)
			} else {
				unanswered.Add(1)
			}
		})
	}
	all.Wait()
	rec.note("%d got an answer; %d had none a second after their deadline", answered.Load(), unanswered.Load())
	rec.note("calm")
	time.Sleep(10 * time.Second)
	judgeStarved(w, t)
	return nil
}
