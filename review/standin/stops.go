//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

func init() { cases["stops-in-turn"] = stopsInTurn }

const (
	// tokenTime is how long the engines take for a token, as their configuration says. The users
	// plan with up to 61 ms.
	tokenTime = 60 * time.Millisecond
	// answerTokens is the length of an answer; an event holds one token.
	answerTokens = 90
	// stopGap is the time between the SIGTERMs of two machines.
	stopGap = time.Second
	// requestsPerSecond is the rate of all clients together.
	requestsPerSecond = 50.0
)

// generation is a request as its client saw it.
type generation struct {
	id      string
	machine string
	sentAt  time.Time
	status  int
	whole   bool
	events  int
	err     error
}

// directoryClient keeps the directory's answer for its ttl, some clients three times as long.
type directoryClient struct {
	w         *world
	patience  time.Duration // factor of the ttl
	addresses []string
	until     time.Time
	http      *http.Client
}

func (d *directoryClient) address() string {
	if time.Now().After(d.until) || len(d.addresses) == 0 {
		order := rand.Perm(len(d.w.vms))
		for _, i := range order[:min(3, len(order))] {
			c := http.Client{Timeout: time.Second}
			resp, err := c.Get(userplatform.DirectoryURL(d.w.vms[i].directory()))
			if err != nil {
				continue
			}
			var answer struct {
				Addresses []string `json:"addresses"`
				TTL       float64  `json:"ttl_s"`
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
			if err == nil && len(answer.Addresses) > 0 {
				d.addresses, d.until = answer.Addresses, time.Now().Add(time.Duration(answer.TTL*float64(time.Second))*d.patience)
				break
			}
		}
	}
	if len(d.addresses) == 0 {
		return ""
	}
	return d.addresses[rand.IntN(len(d.addresses))]
}

// stopsInTurn: the platform stops the machines one after the other and starts them again.
func stopsInTurn(rec *recorder) (int, string) {
	w, err := newWorld(rec, worldOptions{vms: 4, engines: 6, plain: 3, events: answerTokens, interval: tokenTime, editConfig: func(c map[string]any) {
		e := c["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
		e["step_ms"] = tokenTime.Seconds() * 1000
		e["usual"] = map[string]any{"prompt": 100, "answer": answerTokens}
	}})
	if err != nil {
		return cannotRun, err.Error()
	}
	defer w.close()
	var mu sync.Mutex
	reached := make(map[string]bool)
	for _, e := range w.engines {
		h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/gen/") {
				mu.Lock()
				reached[r.Header.Get("Request-Id")] = true
				mu.Unlock()
			}
			e.Engine.ServeHTTP(rw, r)
		})
		e.wrap.Store(&h)
	}
	w.startVMs()
	if !w.awaitReady(10 * time.Second) {
		return cannotRun, "the VMs did not become ready"
	}
	time.Sleep(4 * time.Second)
	names := make(map[string]string)
	for _, v := range w.vms {
		names[v.front()] = v.name
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var all []generation
	idle := make(chan *directoryClient, 400)
	for i := range cap(idle) {
		d := &directoryClient{w: w, patience: 1, http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
		if i%4 == 0 {
			d.patience = 3
		}
		idle <- d
	}
	send := func(d *directoryClient) {
		defer func() { idle <- d }()
		address := d.address()
		if address == "" {
			return
		}
		g := generation{id: w.nextID("gen"), machine: names[address]}
		r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/gen/x", strings.NewReader("a draft, please"))
		r.GetBody = nil
		userplatform.CallerRequest{ID: g.id, Key: w.keys[0], Deadline: 20 * time.Second}.SetHeaders(r)
		r.Header.Set("Token-Counts", fmt.Sprintf("100,%d", answerTokens))
		g.sentAt = time.Now()
		resp, err := d.http.Do(r)
		if err == nil {
			g.status = resp.StatusCode
			var body []byte
			body, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			g.events = strings.Count(string(body), "id: ")
		}
		g.err = err
		g.whole = err == nil && (g.status != http.StatusOK || g.events == answerTokens)
		rec.log("client %s sent %.3f to %s: status %d, %d events, complete %v, %v", g.id, g.sentAt.Sub(rec.began).Seconds(), g.machine, g.status, g.events, g.whole, err)
		mu.Lock()
		all = append(all, g)
		mu.Unlock()
	}
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / requestsPerSecond * float64(time.Second))):
			}
			select {
			case d := <-idle:
				clients.Go(func() { send(d) })
			default:
			}
		}
	})
	time.Sleep(5 * time.Second)
	stoppedAt := make(map[string]time.Time)
	if w.trouble {
		for _, v := range w.vms {
			mu.Lock()
			stoppedAt[v.name] = time.Now()
			mu.Unlock()
			rec.log("%s gets SIGTERM", v.name)
			v.terminate()
			time.Sleep(stopGap)
		}
	} else {
		time.Sleep(4 * stopGap)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	cut, whole := 0, 0
	for _, g := range all {
		if g.whole && g.status == http.StatusOK {
			whole++
		}
		at, stopped := stoppedAt[g.machine]
		if !stopped || g.whole || !reached[g.id] {
			continue
		}
		after := g.sentAt.Sub(at)
		if after > 3*time.Second && after < graceTime+time.Second {
			cut++
			rec.log("%s was sent to %s %.2f s after its SIGTERM, passed on to an engine, and ended after %d of %d events: %v", g.id, g.machine, after.Seconds(), g.events, answerTokens, g.err)
		}
	}
	text := fmt.Sprintf("%d requests, %d answered in full; %d that were sent later than 3 s after the SIGTERM of their machine were passed on and cut (none is allowed)", len(all), whole, cut)
	if cut > 0 {
		return broken, text
	}
	return held, text
}
