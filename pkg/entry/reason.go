package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/route"
)

// maxUnusableListed bounds the number of unusable engines that a reason lists.
const maxUnusableListed = 8

// chainReason describes why a chain was chosen: the state of each stage, and which
// engines of the model were ruled out for another reason than cost.
func chainReason(view *fleetView, stages []route.Stage, need pipeline.PlanRequest, prefix []uint64) string {
	var parts []string
	for _, stage := range stages {
		if e := view.routes.Engine(stage.Upstream); e != nil {
			parts = append(parts, stageReason(e, need, prefix))
		}
	}
	text := strings.Join(parts, "; ")
	if passed := unusableEngines(view, need); len(passed) > 0 {
		text += "; passed over: " + strings.Join(passed, ", ")
	}
	return text
}

func stageReason(e *route.Engine, need pipeline.PlanRequest, prefix []uint64) string {
	text := fmt.Sprintf("%s layers %s in %s, %s a token, %.1f of %d slots taken",
		e.ID, e.Layers, e.DataCentre, e.StageTime.Round(10*time.Microsecond), e.Load.Queue(), e.Slots)
	if holdsCache(need, e.ID) {
		return text + ", holds the KV cache"
	}
	if e.Prefixes != nil {
		if n := e.Prefixes.Match(prefix); n > 0 {
			text += ", " + plural(n, "prompt block") + " cached"
		}
	}
	return text
}

func holdsCache(need pipeline.PlanRequest, id fleet.UpstreamID) bool {
	for _, h := range need.Holders {
		if h.Ref.Upstream == id {
			return true
		}
	}
	return false
}

// unusableEngines lists the model's engines that could not be chosen, each with the
// reason.
func unusableEngines(view *fleetView, need pipeline.PlanRequest) []string {
	excluded := map[fleet.UpstreamID]bool{}
	for _, id := range need.Excluded {
		excluded[id] = true
	}
	var list []string
	for _, e := range view.routes.Engines() {
		reason := unusableReason(&e, excluded[e.ID])
		if e.Model != need.Request.Model || reason == "" {
			continue
		}
		if len(list) == maxUnusableListed {
			return append(list, "and others")
		}
		list = append(list, string(e.ID)+" "+reason)
	}
	return list
}

// unusableReason returns why an engine could not be chosen, "" when it could.
func unusableReason(e *route.Engine, excluded bool) string {
	switch {
	case excluded:
		return "failed this request"
	case e.Ejected:
		return "ejected"
	case e.Leaving:
		return "leaving"
	case e.Loading:
		return "loading"
	}
	return ""
}
