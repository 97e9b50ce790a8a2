package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/route"
)

// maxPassedOver bounds the engines that a reason names.
const maxPassedOver = 8

// reasonFor says why a chain was chosen: what was known of each stage, and which
// engines of the model were passed over for another reason than cost.
func reasonFor(view *fleetView, stages []route.Stage, need pipeline.Need, prefix []uint64) string {
	var parts []string
	for _, stage := range stages {
		if e := view.routes.Engine(stage.Upstream); e != nil {
			parts = append(parts, stageReason(e, need, prefix))
		}
	}
	text := strings.Join(parts, "; ")
	if passed := passedOver(view, need); len(passed) > 0 {
		text += "; passed over: " + strings.Join(passed, ", ")
	}
	return text
}

func stageReason(e *route.Engine, need pipeline.Need, prefix []uint64) string {
	text := fmt.Sprintf("%s layers %s in %s, %s a token, %.1f of %d slots taken",
		e.ID, e.Layers, e.DataCentre, e.StageTime.Round(10*time.Microsecond), e.Load.Queue(), e.Slots)
	if holds(need, e.ID) {
		return text + ", holds the KV cache"
	}
	if e.Prefixes != nil {
		if n := e.Prefixes.Match(prefix); n > 0 {
			text += ", " + plural(n, "prompt block") + " cached"
		}
	}
	return text
}

func holds(need pipeline.Need, id fleet.UpstreamID) bool {
	for _, h := range need.Holding {
		if h.Ref.Upstream == id {
			return true
		}
	}
	return false
}

// passedOver names the model's engines that could not be chosen, and why.
func passedOver(view *fleetView, need pipeline.Need) []string {
	excluded := map[fleet.UpstreamID]bool{}
	for _, id := range need.Excluded {
		excluded[id] = true
	}
	var list []string
	for _, e := range view.routes.Engines() {
		reason := unusable(&e, excluded[e.ID])
		if e.Model != need.Request.Model || reason == "" {
			continue
		}
		if len(list) == maxPassedOver {
			return append(list, "and others")
		}
		list = append(list, string(e.ID)+" "+reason)
	}
	return list
}

// unusable returns why an engine takes no request, "" when it may.
func unusable(e *route.Engine, excluded bool) string {
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
