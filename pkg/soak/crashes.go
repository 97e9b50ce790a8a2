package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// The platform's rule for a part of a prompt that crashes engines.
const (
	// crashesBeforeRefusal is the number of crashes after which the VMs have settleWindow to act.
	crashesBeforeRefusal = 5
	// maxLateArrivals is the number of requests with the part that may reach engines later.
	maxLateArrivals = 3
	// engineDownTime is how long an engine is gone after a crash.
	engineDownTime = 1500 * time.Millisecond
	// crashingPrefix begins the name of the fault, and crashingTime is how long it lasts in addition
	// to the others.
	crashingPrefix = "requests with a part that crashes engines: "
	crashingTime   = 9 * time.Second
	// crashingInterval is the time between two requests with the part.
	crashingInterval = 150 * time.Millisecond
)

// crashingPart is a part of prompts that crashes engines.
type crashingPart struct {
	world *World
	name  string

	mu      sync.Mutex
	crashes []time.Time
	late    int
}

// sendCrashingPart sends requests, no two alike, with a part that crashes each engine.
func sendCrashingPart(w *World) (string, func()) {
	p := &crashingPart{world: w, name: strconv.FormatUint(w.random.Uint64(), 16)}
	for _, e := range w.engines {
		e.SetCrash(userplatform.Crash{Part: p.name, Down: engineDownTime, OnArrival: p.recordArrival})
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := w.random.IntN(len(w.vms))
	var sending sync.WaitGroup
	sending.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			vm := (first + n) % len(w.vms)
			sending.Go(func() { p.send(ctx, vm, n) })
			w.sleep(ctx, crashingInterval)
		}
	})
	return crashingPrefix + p.name, func() {
		cancel()
		sending.Wait()
	}
}

// send sends one request to a VM. Its ID names the VM.
func (p *crashingPart) send(ctx context.Context, vm, n int) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.world.vms[vm].FrontAddress+"/gen/crash", strings.NewReader(strconv.Itoa(n)))
	if err != nil {
		return
	}
	id := fmt.Sprintf("%d-%s-%d", vm, p.name, n)
	p.world.mu.Lock()
	key := p.world.keys[0]
	p.world.mu.Unlock()
	userplatform.CallerRequest{ID: id, Key: key, Deadline: streamDeadline, PromptParts: fmt.Sprintf("team:100,%s:50,%s:20", p.name, id)}.SetHeaders(r)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return // it earns nothing
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// recordArrival checks that no more requests than allowed reach engines late, through VMs that were
// not disturbed.
func (p *crashingPart) recordArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	p.world.mu.Lock()
	p.world.engineEnds++
	p.world.mu.Unlock()
	name, _, _ := strings.Cut(id, "-")
	vm, err := strconv.Atoi(name)
	if err != nil || len(p.crashes) <= crashesBeforeRefusal || time.Since(p.crashes[crashesBeforeRefusal-1]) < settleWindow {
		return
	}
	if !p.world.vms[vm].UndisturbedSince(time.Now().Add(-settleWindow)) {
		return
	}
	if p.late++; p.late == maxLateArrivals+1 {
		p.world.recordViolation(fmt.Sprintf("%d requests with the part %s reached engines later than %v after the fifth crash", p.late, p.name, settleWindow))
	}
}
