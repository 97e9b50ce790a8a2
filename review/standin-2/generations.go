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

// judgeCalm sends single ordinary requests of both kinds through each VM and applies the rule: a kind of
// request is starved if it is served less than a quarter as often as all requests.
func judgeCalm(w *world) {
	c := newCaller("calm")
	var mu sync.Mutex
	served := map[string]int{}
	sent := map[string]int{}
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			here := map[string]int{}
			for n := range singleRequests {
				id := fmt.Sprintf("calm-%s-%d", v.name, n)
				status, complete := c.generate(v, id, "800,60")
				w.rec.line("%s: generation through %s: status %d, complete %t", id, v.name, status, complete)
				if status == http.StatusOK && complete {
					here["generation"]++
				}
				a := c.send(v, "GET", "/look/x", keyAlways, "", plainDeadline)
				w.rec.line("%s: lookup through %s: status %d", a.id, v.name, a.status)
				if a.status == http.StatusOK {
					here["lookup"]++
				}
			}
			w.rec.note("in calm, %s served %d of %d generations and %d of %d lookups; ready: %t", v.name, here["generation"], singleRequests, here["lookup"], singleRequests, isReady(v))
			mu.Lock()
			defer mu.Unlock()
			for _, kind := range []string{"generation", "lookup"} {
				served[kind] += here[kind]
				sent[kind] += singleRequests
			}
		})
	}
	all.Wait()
	total := float64(served["generation"]+served["lookup"]) / float64(sent["generation"]+sent["lookup"])
	for _, kind := range []string{"generation", "lookup"} {
		share := float64(served[kind]) / float64(sent[kind])
		if share < starvedShare*total || total == 0 {
			w.rec.breaks("in calm, %.0f in 100 requests of kind %s are served, %.0f in 100 of all", 100*share, kind, 100*total)
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
	c := newCaller("odd")
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
			})
		}
		all.Wait()
	}
	rec.note("calm")
	time.Sleep(10 * time.Second)
	judgeCalm(w)
	return nil
}

const (
	// crowdLength is how long many callers come at once, and crowdRate their requests a second.
	crowdLength = 20 * time.Second
	crowdRate   = 240
	// withoutIDEvery is the part of them that bear no id, with the disruption.
	withoutIDEvery = 4
	// crowdCounts are the tokens of their requests: some sixty fit into the engines' memory at a time.
	crowdCounts = "20000,60"
)

// requestsWithoutID lets many callers come at once to one VM, a part of them without a Request-Id.
func requestsWithoutID(rec *record, trouble bool) error {
	w, err := newModelWorld(rec, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	c := newCaller("crowd")
	target := w.vms[0]
	rec.note("%d requests a second come to %s for %v, every %dth without a Request-Id: %t", crowdRate, target.name, crowdLength, withoutIDEvery, trouble)
	var all sync.WaitGroup
	var answered, unanswered, anonymous, anonymousUnanswered atomic.Int64
	pause := time.NewTicker(time.Second / crowdRate)
	defer pause.Stop()
	end := time.Now().Add(crowdLength)
	for n := 0; time.Now().Before(end); n++ {
		<-pause.C
		all.Go(func() {
			id := fmt.Sprintf("crowd-%d", n)
			if trouble && n%withoutIDEvery == 0 {
				id = ""
				anonymous.Add(1)
			}
			status, complete := c.generate(target, id, crowdCounts)
			rec.line("request %d of the crowd, id %q: status %d, complete %t", n, id, status, complete)
			switch {
			case status != 0:
				answered.Add(1)
			case id == "":
				anonymousUnanswered.Add(1)
			default:
				unanswered.Add(1)
			}
		})
	}
	all.Wait()
	rec.note("the crowd got %d answers; %d of %d without an id had none a second after their deadline, and %d with an id", answered.Load(), anonymousUnanswered.Load(), anonymous.Load(), unanswered.Load())
	rec.note("calm")
	time.Sleep(10 * time.Second)
	judgeCalm(w)
	return nil
}
