// Package admission decides when a request may start and which requests are
// refused. It is a pure state machine: events and a time go in, actions come out.
//
// Requests queue at the router, one Queue per entry VM with one pipeline per
// model. A pipeline keeps only as many requests in flight as this VM's share of
// the engines' batch slots, so that an urgent request overtakes queued work.
//
// Invariants:
//   - a backlogged rank gets at least its guaranteed share of the started cost;
//   - within a rank, teams are served by weighted virtual token counters, and an
//     idle team accrues no credit;
//   - a request is accepted only while the predicted wait fits its deadline;
//     otherwise it is refused in the same call;
//   - overnight work is accepted only when the guaranteed share alone finishes
//     it, and all accepted work with an earlier deadline, in time.
package admission

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Order selects the service order.
type Order uint8

// The service orders. FIFO and StrictPriority are baselines: they queue up to
// the limit, predict nothing and drop a request only once its deadline passed.
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
	// Shares is each rank's guaranteed fraction of the capacity. The rest goes by rank.
	Shares [fleet.RankCount]float64
	// Weights are the teams' weights within a rank. A team that is not listed has weight 1.
	Weights map[fleet.TeamID]float64
	// TeamBurst is the burst that every team may use at once, in seconds of the
	// share of a team of weight 1. It lets a small team within its share send a
	// few requests together. It is the same for a team that was idle for a second
	// or a day, and for a large team: idle teams accrue no credit.
	TeamBurst time.Duration
	// MaxWait bounds the time in the queue; 0 means that only the deadline bounds it.
	MaxWait [fleet.RankCount]time.Duration
	// MaxQueued bounds the queued requests of a rank and model.
	MaxQueued [fleet.RankCount]int
	// Depth is how many requests beyond the slots, as a fraction of them, may be in
	// flight for ranks below their guaranteed share.
	Depth float64
	// Headroom adds to the slots kept for urgent and lookup arrivals against other
	// ranks, which are the recent mean use: Headroom times its square root, the
	// deviation of Poisson arrivals. With the extra Depth 0 is enough; each 0.25
	// costs about 1% of the throughput in an overnight flood.
	Headroom float64
	// SlotRate is the cost units per second of one slot, assumed before any request finished.
	SlotRate float64
	// Safety multiplies predicted waits before they are compared with deadlines.
	Safety float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Shares: [fleet.RankCount]float64{0.5, 0.2, 0.1},
		// The urgent target is 1.4 s to the first token; the rest is left for the prefill.
		MaxWait:   [fleet.RankCount]time.Duration{900 * time.Millisecond, 800 * time.Millisecond, 0},
		TeamBurst: 20 * time.Second,
		MaxQueued: [fleet.RankCount]int{10_000, 10_000, 200_000},
		Depth:     0.25,
		Headroom:  0,
		SlotRate:  20,
		Safety:    2,
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
	// Cost is the estimated cost in token units (output tokens plus weighted prompt tokens).
	Cost float64
}

// Capacity is this VM's share of a model's pipelines.
type Capacity struct {
	Model fleet.ModelID
	// Slots is this VM's share of the batch slots.
	Slots int
	// Rate bounds the cost units per second of all Slots together; 0 means
	// unknown, and the measured rate of finished requests is used alone.
	Rate float64
}

// SlotShare returns the slots of one of vms entry VMs that divide total evenly;
// index is its place among them, and the first ones take the remainder.
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

// ActionKind says what to do with a request.
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
	// Code and RetryAfter are set on Refuse. A refused request ran nowhere.
	Code       result.Code
	RetryAfter time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
}
