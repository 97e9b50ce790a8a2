// Package admission decides when a request may start and which requests are refused. It is
// a pure state machine: events and the current time go in, actions come out.
//
// Requests queue at the router, with one Queue per entry VM and one pipeline per model. A
// pipeline keeps only as many requests in flight as this VM's share of the engines' batch
// slots, so that an urgent request can overtake the queued work.
//
// Invariants:
//   - A backlogged rank gets at least its guaranteed share of the started cost.
//   - Within a rank, teams are served by weighted virtual token counters, and an idle team
//     accrues no credit.
//   - A request is accepted only if its predicted wait fits its deadline. Otherwise it is
//     refused in the same call.
//   - Overnight work is accepted only if the guaranteed share alone completes it, and all
//     accepted work with an earlier deadline, in time.
package admission

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Order is the order in which queued requests are served.
type Order uint8

// The service orders. FIFO and StrictPriority are baselines for comparison: they queue up
// to the limit, predict nothing and refuse a queued request only after its deadline.
const (
	Fair Order = iota
	FIFO
	StrictPriority
)

var orderNames = [...]string{"fair", "fifo", "strict priority"}

// String returns the order's name.
func (o Order) String() string { return orderNames[o] }

// Config holds the limits of a Queue.
type Config struct {
	Order Order
	// Shares is the guaranteed fraction of the capacity by rank. Capacity beyond the
	// guarantees goes to the ranks in order of priority.
	Shares [fleet.RankCount]float64
	// Weights are the teams' weights within a rank. A team that is not listed has weight 1.
	Weights map[fleet.TeamID]float64
	// TeamBurst is the burst that every team may use at once, given as a time: the burst is
	// what a team of weight 1 gets in this time at its share. It lets a small team that stays
	// within its share send a few requests together. The burst is the same for large teams,
	// and for a team that was idle for a second or a day, because idle teams accrue no credit.
	TeamBurst time.Duration
	// MaxWait bounds the time in the queue. 0 means that only the deadline bounds it.
	MaxWait [fleet.RankCount]time.Duration
	// MaxQueued bounds the queued requests of a rank and model.
	MaxQueued [fleet.RankCount]int
	// Depth is the number of requests beyond the slots, as a fraction of the slots, that may
	// be in flight for ranks below their guaranteed share.
	Depth float64
	// Headroom enlarges the reserve of slots for urgent and lookup arrivals. The reserve of a
	// rank is its recent mean demand plus Headroom times the square root of this mean, which
	// is the standard deviation of Poisson arrivals. With the extra slots of Depth a Headroom
	// of 0 is enough. Each 0.25 of Headroom costs about 1% of the throughput in an overnight
	// flood.
	Headroom float64
	// SlotRate is the number of cost units per second that one slot is assumed to process
	// until the first requests finish.
	SlotRate float64
	// SafetyFactor multiplies predicted waits before they are compared with deadlines.
	SafetyFactor float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Shares: [fleet.RankCount]float64{0.5, 0.2, 0.1},
		// The target for Urgent is 1.4 s to the first token; what remains after the wait is
		// for the prefill.
		MaxWait:      [fleet.RankCount]time.Duration{900 * time.Millisecond, 800 * time.Millisecond, 0},
		TeamBurst:    20 * time.Second,
		MaxQueued:    [fleet.RankCount]int{10_000, 10_000, 200_000},
		Depth:        0.25,
		Headroom:     0,
		SlotRate:     20,
		SafetyFactor: 2,
	}
}

// Request is an arriving request.
type Request struct {
	ID    fleet.RequestID
	Team  fleet.TeamID
	Rank  fleet.Rank
	Model fleet.ModelID
	// Deadline is when the response must be complete; the zero time means none.
	Deadline time.Time
	// Cost is the estimated cost in token units: output tokens plus weighted prompt tokens.
	Cost float64
}

// Capacity is this VM's share of a model's pipelines.
type Capacity struct {
	Model fleet.ModelID
	// Slots is this VM's share of the batch slots.
	Slots int
	// Rate bounds the cost units per second of all Slots together. 0 means that it is
	// unknown; only the measured rate of finished requests is used then.
	Rate float64
}

// SlotShare returns the slots of one entry VM if vms entry VMs divide total evenly. index is
// the VM's position among them; the first VMs get one slot of the remainder each.
func SlotShare(total, vms, index int) int {
	if vms <= 0 {
		return total
	}
	share := total / vms
	if index < total%vms {
		share++
	}
	return share
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Start ActionKind = iota
	Refuse
)

// Action is a decision about one request.
type Action struct {
	Kind    ActionKind
	Request fleet.RequestID
	// Code is the reason, set on Refuse. A refused request did not run on any upstream.
	Code result.Code
	// RetryAfter is the time after which the caller should retry, set on Refuse.
	RetryAfter time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}
