package pipeline

import (
	"errors"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// recovery is how an attempt gets its KV cache.
type recovery struct {
	// starts holds the first position that each stage of the chain runs; it holds
	// the earlier ones after the transfers. 0 means a rebuild from an empty cache.
	starts    []int
	transfers []Transfer
	cost      time.Duration
	// rebuild is the least cost without transfers; transfers that take longer are given up,
	// so that a wrong estimate costs at most that much.
	rebuild time.Duration
}

// moved returns the number of KV positions that the transfers move.
func (r recovery) moved() int {
	moved := 0
	for _, t := range r.transfers {
		moved += t.Positions
	}
	return moved
}

// choose returns the cheapest way to bring all stages of the chain to the target
// position: each pair of start positions that the KV caches allow, an earlier one
// up to some stage and a later one from there on, is priced as the slowest
// transfer plus the prefill of the rest on each stage. Of equal ones the one
// that runs the least wins.
func choose(chain []Stage, touched []*touchedStage, target int) recovery {
	starts := []int{0}
	for _, t := range touched {
		if t.positions > 0 {
			starts = append(starts, min(t.positions, target))
		}
	}
	slices.Sort(starts)
	best, _ := price(chain, touched, make([]int, len(chain)), target)
	rebuild := best.cost
	for _, option := range startOptions(len(chain), slices.Compact(starts)) {
		r, possible := price(chain, touched, option, target)
		if !possible {
			continue
		}
		if len(r.transfers) == 0 {
			rebuild = min(rebuild, r.cost)
		}
		if r.cost < best.cost || r.cost == best.cost && sum(r.starts) > sum(best.starts) {
			best = r
		}
	}
	best.rebuild = rebuild
	return best
}

// startOptions returns the start positions of a chain that has one of the
// given ones, in rising order, up to some stage and the same or a later one after it.
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

// price returns the recovery with the given starts, if the KV caches allow it.
func price(chain []Stage, touched []*touchedStage, starts []int, target int) (recovery, bool) {
	r := recovery{starts: starts}
	var prefill, transfer time.Duration
	for i, stage := range chain {
		start := starts[i]
		own := find(touched, stage.Ref)
		left := target + 1 - start
		if start == 0 {
			left = max(1, left-cachedPositions(stage, own))
		}
		prefill += time.Duration(left) * stage.PrefillPerPosition
		if start == 0 || own != nil && own.positions >= start {
			continue
		}
		source := exporter(touched, stage.Ref.Layers, start)
		if source == nil || own != nil && own.noTransfer {
			return r, false
		}
		r.transfers = append(r.transfers, Transfer{From: source.stage, To: stage, Positions: start})
		transfer = max(transfer, time.Duration(start)*stage.TransferPerPosition)
	}
	r.cost = transfer + prefill
	return r, true
}

// cachedPositions returns the prompt positions that the stage need not run in a rebuild.
func cachedPositions(stage Stage, own *touchedStage) int {
	if own == nil {
		return stage.CachedPositions
	}
	return max(own.cached, stage.CachedPositions)
}

// find returns the record of the stage, nil if none has been reached.
func find(touched []*touchedStage, ref upstream.StageRef) *touchedStage {
	i := slices.IndexFunc(touched, func(t *touchedStage) bool {
		return t.stage.Ref.Upstream == ref.Upstream && t.stage.Ref.Layers == ref.Layers
	})
	if i < 0 {
		return nil
	}
	return touched[i]
}

// exporter returns a stage that can export the positions of a layer range.
func exporter(touched []*touchedStage, layers fleet.LayerRange, positions int) *touchedStage {
	for _, t := range touched {
		if t.stage.Ref.Layers == layers && t.positions >= positions && !t.noTransfer {
			return t
		}
	}
	return nil
}

// failedSides returns the stages that a failed transfer speaks against: the
// source when the target named it, both when the limit passed, because either
// may be slow, and otherwise the target.
func failedSides(t Transfer, err error) []Stage {
	var failure *upstream.Error
	switch {
	case errors.Is(err, ErrImportLimit):
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
	for _, t := range s.touched {
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
