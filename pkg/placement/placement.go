// Package placement decides which engine holds which layer range of which
// model, with which adapters, and in which order engines switch to a new
// assignment.
//
// Planner computes the wanted assignments and compares their throughput with
// the max-flow bound of the same hardware. Owner is the state machine that
// issues orders to the engines; it runs on every entry VM and acts only while
// that VM holds the placement lease. Executor performs Owner's actions. Planner
// and Owner do no I/O and read no clock: they receive the time and events as
// arguments and return plans and actions.
package placement

import (
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Fencing is how an engine treats an order with a stale fencing token.
type Fencing string

const (
	// FencingEnforced engines refuse such an order.
	FencingEnforced Fencing = "enforced"
	// FencingIgnored engines execute such an order.
	FencingIgnored Fencing = "ignored"
)

// DefaultActivationBytes is the default size of the activation that one token
// passes from a stage to the next.
const DefaultActivationBytes = 16 << 10

// Engine describes the hardware of one engine.
type Engine struct {
	ID         fleet.UpstreamID
	Kind       string
	DataCentre fleet.DataCentreID
	// Memory is the memory for weights, adapters and KV caches, in bytes.
	Memory float64
	// Speed is the work per second at a full batch, in units of
	// layers x tokens x Model.LayerWork.
	Speed float64
	// Slots is the batch limit; each slot reserves KV cache for Model.ContextTokens.
	Slots int
	// LoadRate is the rate at which the engine can load weights, in bytes per
	// second. 0 means no limit.
	LoadRate float64
	Fencing  Fencing
	// Unavailable excludes the engine from placement.
	Unavailable bool
	// Current is the assignment that the engine holds or was last ordered to load.
	Current upstream.Assignment
}

// Link is the connection between two data centres, the same in both directions.
type Link struct {
	A, B fleet.DataCentreID
	// BytesPerSecond is the capacity for activations in each direction.
	BytesPerSecond float64
}

// Adapter is a fine-tuning adapter of a model.
type Adapter struct {
	Name  string
	Bytes float64
	// Demand is the share of the model's requests that use the adapter.
	Demand float64
}

// Model describes the layers, sizes and demand of a model to place.
type Model struct {
	ID      fleet.ModelID
	Version string
	Layers  int
	// BytesPerLayer is the size of one layer's weights.
	BytesPerLayer float64
	// KVBytesPerToken is the size of one token's KV cache in one layer.
	KVBytesPerToken float64
	// ContextTokens is the context length for which each slot reserves KV cache.
	ContextTokens int
	// LayerWork is the work of one layer for one token. 0 means 1.
	LayerWork float64
	// ActivationBytes is the size of the activation that one token passes from a
	// stage to the next. 0 means DefaultActivationBytes.
	ActivationBytes float64
	// Demand is the model's share of the tokens of all models.
	Demand   float64
	Adapters []Adapter
}

func (m Model) workPerLayer() float64 {
	if m.LayerWork <= 0 {
		return 1
	}
	return m.LayerWork
}

func (m Model) activationBytes() float64 {
	if m.ActivationBytes <= 0 {
		return DefaultActivationBytes
	}
	return m.ActivationBytes
}

// speed returns how many layers x tokens per second of the model an engine runs.
func (m Model) speed(e Engine) float64 { return e.Speed / m.workPerLayer() }

// maxLayers returns how many layers of the model fit into an engine's memory
// together with their KV caches and the share reserved for adapters.
func (m Model) maxLayers(e Engine) int {
	if e.Unavailable || e.Speed <= 0 {
		return 0
	}
	perLayer := m.BytesPerLayer + m.KVBytesPerToken*float64(m.ContextTokens)*float64(e.Slots)
	if perLayer <= 0 {
		return m.Layers
	}
	layers := int(e.Memory * (1 - adapterMemoryShare(m)) / perLayer)
	return min(layers, m.Layers)
}

// Input holds the hardware and the models for which a plan is computed.
type Input struct {
	Engines []Engine
	Links   []Link
	Models  []Model
	// Seed seeds the search, so that equal inputs give equal plans.
	Seed uint64
}

// Plan holds the wanted assignment of each engine and the throughput that
// results from it.
type Plan struct {
	Wanted map[fleet.UpstreamID]upstream.Assignment
	// Throughput is the tokens per second of each model under the plan.
	Throughput map[fleet.ModelID]float64
	// LocalThroughput is the part of Throughput that is carried by chains within
	// one data centre.
	LocalThroughput map[fleet.ModelID]float64
	// Redundant holds true for each model that keeps a complete chain after the
	// loss of any one engine.
	Redundant map[fleet.ModelID]bool
	// Scale is the lowest Throughput / Demand of all models.
	Scale float64
	// Bound is the upper bound of Scale that the function Bound returns.
	Bound float64
}

// Ratio returns Scale as a fraction of Bound, 0 when there is no bound.
func (p Plan) Ratio() float64 {
	if p.Bound <= 0 {
		return 0
	}
	return p.Scale / p.Bound
}
