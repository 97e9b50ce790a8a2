// Package placement decides which engine holds which layer range of which
// model, with which adapters, and in which order engines change over.
//
// Planner computes wanted assignments and compares them with the max-flow
// bound of the same hardware. Owner is the state machine of the one entry VM
// that gives orders; Executor performs its actions. All but Executor is pure:
// time and events go in, results and actions come out.
package placement

import (
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Fencing states what an engine does with an order whose fencing token is stale.
type Fencing string

// The kinds of fencing.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// DefaultActivationBytes is the size of one token's activation between stages.
const DefaultActivationBytes = 16 << 10

// Engine describes the hardware of one engine.
type Engine struct {
	ID         fleet.UpstreamID
	Kind       string
	DataCentre fleet.DataCentreID
	// Memory is for weights and KV caches, in bytes.
	Memory float64
	// Speed is the work per second at a full batch: layers x tokens x Model.LayerWork.
	Speed float64
	// Slots is the batch limit; each slot reserves KV cache for Model.ContextTokens.
	Slots int
	// LoadRate is the engine's own limit on loading weights in bytes per second, 0 for none.
	LoadRate float64
	Fencing  Fencing
	// Unavailable engines get no assignment.
	Unavailable bool
	// Current is what the engine holds; its role is RoleServe only once it is loaded.
	Current upstream.Assignment
}

// Link is the connection between two data centres, the same in both directions.
type Link struct {
	A, B fleet.DataCentreID
	// BytesPerSecond is for all activations that cross the link in one direction.
	BytesPerSecond float64
}

// Adapter is a fine-tuning adapter of a model.
type Adapter struct {
	Name  string
	Bytes float64
	// Demand is the share of the model's requests that name the adapter.
	Demand float64
}

// Model is a model that is to be placed.
type Model struct {
	ID      fleet.ModelID
	Version string
	Layers  int
	// BytesPerLayer is the size of one layer's weights.
	BytesPerLayer float64
	// KVBytesPerToken is the KV cache of one token in one layer.
	KVBytesPerToken float64
	// ContextTokens is the context that each slot reserves.
	ContextTokens int
	// LayerWork is the work of one layer for one token, 1 when zero.
	LayerWork float64
	// ActivationBytes is what one token sends between stages, DefaultActivationBytes when zero.
	ActivationBytes float64
	// Demand is the model's share of all tokens.
	Demand   float64
	Adapters []Adapter
}

func (m Model) work() float64 {
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

// speed returns the layers x tokens per second of an engine for the model.
func (m Model) speed(e Engine) float64 { return e.Speed / m.work() }

// maxLayers returns how many layers of the model fit into an engine beside
// their KV caches. A share of the memory is kept for adapters.
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

// Input is everything that a plan depends on.
type Input struct {
	Engines []Engine
	Links   []Link
	Models  []Model
	// Seed makes the search repeatable: equal inputs give equal plans.
	Seed uint64
}

// Plan is the wanted assignment of each engine.
type Plan struct {
	Wanted map[fleet.UpstreamID]upstream.Assignment
	// Throughput is the tokens per second of each model under the plan.
	Throughput map[fleet.ModelID]float64
	// Local is the part of Throughput whose chains stay inside one data centre.
	Local map[fleet.ModelID]float64
	// Spare names the models that keep a complete chain when any one engine is lost.
	Spare map[fleet.ModelID]bool
	// Scale is the lowest Throughput / Demand over all models.
	Scale float64
	// Bound is the highest Scale that the max-flow bound allows.
	Bound float64
}

// Ratio returns the plan's throughput as a share of the hardware bound.
func (p Plan) Ratio() float64 {
	if p.Bound <= 0 {
		return 0
	}
	return p.Scale / p.Bound
}
