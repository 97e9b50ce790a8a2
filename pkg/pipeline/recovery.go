package pipeline

import (
	"errors"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// kvPlan states how the stages of an attempt get the KV cache of the earlier
// positions: they kept it, import it or rebuild it.
type kvPlan struct {
	// starts is the first position that each stage of the chain runs. After the
	// transfers the stage's KV cache covers the positions before it. 0 means a
	// rebuild from an empty cache.
	starts    []int
	transfers []Transfer
	cost      time.Duration
	// rebuildCost is the lowest cost without transfers. Transfers that take longer
	// are aborted, so that a wrong estimate costs at most this much.
	rebuildCost time.Duration
}

// importedPositions returns the number of KV positions that the transfers copy.
func (p kvPlan) importedPositions() int {
	total := 0
	for _, t := range p.transfers {
		total += t.Positions
	}
	return total
}

// chooseKVPlan returns the cheapest plan that brings all stages of the chain to
// the target position. It considers all plans with at most two start positions,
// an earlier one up to some stage and a later one after it, that the KV caches
// allow. The cost of a plan is the slowest transfer plus the prefill of the
// remaining positions on each stage. Of plans with equal cost, the one that runs
// the fewest positions is chosen.
func chooseKVPlan(chain []Stage, tracked []*trackedStage, target int) kvPlan {
	starts := []int{0}
	for _, t := range tracked {
		if t.positions > 0 {
			starts = append(starts, min(t.positions, target))
		}
	}
	slices.Sort(starts)
	best, _ := estimateKVPlan(chain, tracked, make([]int, len(chain)), target)
	rebuildCost := best.cost
	for _, option := range startOptions(len(chain), slices.Compact(starts)) {
		plan, possible := estimateKVPlan(chain, tracked, option, target)
		if !possible {
			continue
		}
		if len(plan.transfers) == 0 {
			rebuildCost = min(rebuildCost, plan.cost)
		}
		if plan.cost < best.cost || plan.cost == best.cost && sum(plan.starts) > sum(best.starts) {
			best = plan
		}
	}
	best.rebuildCost = rebuildCost
	return best
}

// startOptions returns the candidate start positions of the chain's stages: one
// of the given starts for all stages, or one up to some stage and a later one
// after it. The given starts must be in ascending order.
func startOptions(stages int, starts []int) [][]int {
	var options [][]int
	for i, low := range starts {
		options = append(options, slices.Repeat([]int{low}, stages))
		for _, high := range starts[i+1:] {
			for before := 1; before < stages; before++ {
				options = append(options, slices.Concat(
					slices.Repeat([]int{low}, before), slices.Repeat([]int{high}, stages-before)))
			}
		}
	}
	return options
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}

// estimateKVPlan returns the plan with the given starts and its cost. It returns
// false if the KV caches don't allow the plan.
func estimateKVPlan(chain []Stage, tracked []*trackedStage, starts []int, target int) (kvPlan, bool) {
	plan := kvPlan{starts: starts}
	var prefill, transfer time.Duration
	for i, stage := range chain {
		start := starts[i]
		state := findStage(tracked, stage.Ref)
		remaining := target + 1 - start
		if start == 0 {
			remaining = max(1, remaining-cachedPositions(stage, state))
		}
		prefill += time.Duration(remaining) * stage.PrefillPerPosition
		if start == 0 || state != nil && state.positions >= start {
			continue
		}
		source := findExporter(tracked, stage.Ref.Layers, start)
		if source == nil || state != nil && state.noTransfer {
			return plan, false
		}
		plan.transfers = append(plan.transfers, Transfer{From: source.stage, To: stage, Positions: start})
		transfer = max(transfer, time.Duration(start)*stage.TransferPerPosition)
	}
	plan.cost = transfer + prefill
	return plan, true
}

// cachedPositions returns the number of prompt positions that the stage need not
// run in a rebuild because its prefix cache holds them.
func cachedPositions(stage Stage, state *trackedStage) int {
	if state == nil {
		return stage.CachedPositions
	}
	return max(state.cached, stage.CachedPositions)
}

// findStage returns the tracked state of the stage, nil if it is not tracked.
func findStage(tracked []*trackedStage, ref upstream.StageRef) *trackedStage {
	i := slices.IndexFunc(tracked, func(t *trackedStage) bool {
		return t.stage.Ref.Upstream == ref.Upstream && t.stage.Ref.Layers == ref.Layers
	})
	if i < 0 {
		return nil
	}
	return tracked[i]
}

// findExporter returns a stage that can export the given number of positions of
// a layer range, nil if there is none.
func findExporter(tracked []*trackedStage, layers fleet.LayerRange, positions int) *trackedStage {
	for _, t := range tracked {
		if t.stage.Ref.Layers == layers && t.positions >= positions && !t.noTransfer {
			return t
		}
	}
	return nil
}

// transferSuspects returns the stages that may have caused a failed transfer:
// both after a timeout, because either may be slow, the source if the target
// blamed it, and otherwise the target.
func transferSuspects(t Transfer, err error) []Stage {
	var failure *upstream.Error
	switch {
	case errors.Is(err, ErrImportTimeout):
		return []Stage{t.From, t.To}
	case errors.As(err, &failure) && failure.FailedStage == t.From.Ref.Upstream:
		return []Stage{t.From}
	default:
		return []Stage{t.To}
	}
}

// holders lists the stages that hold KV cache.
func (s *Session) holders() []Holder {
	var holders []Holder
	excluded := s.exclusions()
	for _, t := range s.tracked {
		if t.positions > 0 {
			holders = append(holders, Holder{
				Ref:       t.stage.Ref,
				Positions: t.positions,
				Excluded:  slices.Contains(excluded, t.stage.Ref.Upstream),
			})
		}
	}
	return holders
}
