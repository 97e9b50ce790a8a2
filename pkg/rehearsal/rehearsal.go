// Package rehearsal injects faults into the router's calls, so that operators can
// rehearse incidents. The faults are injected below the HTTP clients of upstreams and
// platform services. The code that handles failures sees the same errors, stalls and
// delays as in a real incident and can't distinguish them.
package rehearsal

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/result"
)

// Fault is a kind of injected fault.
type Fault string

// Faults that a rehearsal can inject.
const (
	// Refuse refuses every connection, like a host without a listening process.
	Refuse Fault = "refuse"
	// Stall accepts requests and never answers them. Open streams receive no more data.
	Stall Fault = "stall"
	// Cut breaks off each response in the middle of its body.
	Cut Fault = "cut"
	// Slow delays each request and each read of a response body by one second.
	Slow Fault = "slow"
	// LostAnswer executes each request and discards the response.
	LostAnswer Fault = "lost_answer"
)

var faults = map[Fault]bool{Refuse: true, Stall: true, Cut: true, Slow: true, LostAnswer: true}

// Target names what a rehearsal affects: the ID of an upstream, or one of the platform's
// services.
type Target string

// LogTarget is the platform's log as a target.
const LogTarget Target = "log"

// Rehearsal is a fault with its targets and its duration.
type Rehearsal struct {
	ID      string   `json:"id"`
	Fault   Fault    `json:"fault"`
	Targets []Target `json:"targets"`
	// Until is the end of the rehearsal. Start sets it.
	Until time.Time `json:"until"`
	// Duration is the requested length of the rehearsal.
	Duration time.Duration `json:"-"`
	Author   string        `json:"author"`
}

// Bounds limits the rehearsals that an operator may start.
type Bounds struct {
	// MaxDuration is the maximum duration of one rehearsal.
	MaxDuration time.Duration
	// MaxTargets is the maximum number of distinct targets of all active rehearsals
	// together.
	MaxTargets int
}

// Injector holds the active rehearsals of one VM. It is safe for concurrent use.
type Injector struct {
	now func() time.Time

	mu            sync.Mutex
	active        map[string]Rehearsal
	targetsByHost map[string]Target
}

// NewInjector returns an injector without rehearsals. now returns the current time.
func NewInjector(now func() time.Time) *Injector {
	return &Injector{now: now, active: map[string]Rehearsal{}, targetsByHost: map[string]Target{}}
}

// Bind registers host (IP:port) as an address of a target.
func (i *Injector) Bind(host string, target Target) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.targetsByHost[host] = target
}

// Start starts a rehearsal if it is within the bounds, and returns it with Until set.
func (i *Injector) Start(r Rehearsal, b Bounds) (Rehearsal, error) {
	if err := validate(r, b); err != nil {
		return Rehearsal{}, result.New(result.RehearsalOutOfBounds, result.NotRun, "%v", err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	if n := i.targetCount(r.Targets); n > b.MaxTargets {
		return Rehearsal{}, result.New(result.RehearsalOutOfBounds, result.NotRun, "%d targets with the active rehearsals: at most %d are allowed", n, b.MaxTargets)
	}
	r.Until = i.now().Add(r.Duration)
	i.active[r.ID] = r
	return r, nil
}

// Stop ends a rehearsal early and reports whether it was active.
func (i *Injector) Stop(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	_, ok := i.active[id]
	delete(i.active, id)
	return ok
}

// Active returns the active rehearsals, sorted by ID.
func (i *Injector) Active() []Rehearsal {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	list := make([]Rehearsal, 0, len(i.active))
	for _, r := range i.active {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// faultFor returns the active fault for a host and the time at which it ends. The fault
// is "" if there is none.
func (i *Injector) faultFor(host string) (Fault, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.active) == 0 {
		return "", time.Time{}
	}
	i.expire()
	target, ok := i.targetsByHost[host]
	if !ok {
		return "", time.Time{}
	}
	for _, r := range i.active {
		for _, t := range r.Targets {
			if t == target {
				return r.Fault, r.Until
			}
		}
	}
	return "", time.Time{}
}

// expire removes the rehearsals that have ended.
func (i *Injector) expire() {
	now := i.now()
	for id, r := range i.active {
		if !now.Before(r.Until) {
			delete(i.active, id)
		}
	}
}

// targetCount returns the number of distinct targets in all active rehearsals and extra.
func (i *Injector) targetCount(extra []Target) int {
	all := map[Target]bool{}
	for _, r := range i.active {
		for _, t := range r.Targets {
			all[t] = true
		}
	}
	for _, t := range extra {
		all[t] = true
	}
	return len(all)
}

// validate checks the fields of a rehearsal and its duration against the bounds.
func validate(r Rehearsal, b Bounds) error {
	switch {
	case r.ID == "":
		return errors.New("id: missing")
	case !faults[r.Fault]:
		return fmt.Errorf("fault: unknown fault %q", r.Fault)
	case len(r.Targets) == 0:
		return errors.New("targets: want at least one")
	case r.Duration <= 0 || r.Duration > b.MaxDuration:
		return fmt.Errorf("duration: want more than 0 and at most %s, got %s", b.MaxDuration, r.Duration)
	}
	return nil
}
