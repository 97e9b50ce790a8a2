package entry

import (
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Assumed times of the reference accelerator (speed 1), used until stages have been
// measured.
const (
	// referenceLayerTime is the time of one layer for an output token. 60 layers take
	// 30 ms, which leaves half of the 61 ms between tokens to links and queueing.
	referenceLayerTime = 500 * time.Microsecond
	// referencePrefillTime is the time of one layer for a prompt token.
	referencePrefillTime = 20 * time.Microsecond
)

// movingAverageWeight is the weight of a new measurement in the moving averages
// stageScale and callTime.
const movingAverageWeight = 0.2

// trackedUpstream is the control goroutine's state of one upstream.
type trackedUpstream struct {
	id       fleet.UpstreamID
	view     *settings.View
	address  string
	engine   upstream.Engine
	load     *route.Load
	prefixes *route.PrefixTable
	// state is the engine's latest report.
	state upstream.EngineState
	// reported is set once the engine has reported its state.
	reported bool
	// listedLeaving is set when the platform's VM list names the upstream as leaving.
	listedLeaving bool
	// stageScale is the moving average of the ratio of measured to expected stage time.
	stageScale float64
	// callTime is the moving average of a plain service's response time.
	callTime time.Duration
	// stop ends the polling of the upstream.
	stop func()
}

func (u *trackedUpstream) isEngine() bool { return u.view.Upstream.Kind == settings.UpstreamKindEngine }

func (u *trackedUpstream) isLeaving() bool { return u.state.Leaving || u.listedLeaving }

// isUsable reports whether the engine serves its layers and is not leaving.
func (u *trackedUpstream) isUsable() bool {
	return u.isEngine() && u.reported && !u.state.Loading && !u.isLeaving() && u.state.Assignment.Role == upstream.RoleServe
}

// stageTime returns the expected time of one token through the engine's layers.
func (u *trackedUpstream) stageTime() time.Duration {
	expected := float64(u.state.Assignment.Layers.Len()) * float64(referenceLayerTime) / u.view.Upstream.Speed
	return time.Duration(expected * u.stageScale)
}

// updateStageScale applies the ratio of the measured to the expected time per token
// of the whole chain that the engine was part of.
func (u *trackedUpstream) updateStageScale(ratio float64) {
	u.stageScale += movingAverageWeight * (ratio*u.stageScale - u.stageScale)
	u.stageScale = min(max(u.stageScale, 0.01), 100)
}

// updateCallTime applies the response time of one call of a plain service.
func (u *trackedUpstream) updateCallTime(d time.Duration) {
	if u.callTime == 0 {
		u.callTime = d
		return
	}
	u.callTime += time.Duration(movingAverageWeight * float64(d-u.callTime))
}

// routeEngine returns the engine as input for the choice of chains.
func (u *trackedUpstream) routeEngine(ejected bool, weight float64) route.Engine {
	a := u.state.Assignment
	perToken := float64(a.Layers.Len()) * float64(referencePrefillTime) / u.view.Upstream.Speed
	return route.Engine{
		ID: u.id, Address: u.address, DataCentre: fleet.DataCentreID(u.view.Upstream.DataCentre),
		Model: a.Model, Version: a.Version, Layers: a.Layers, Adapters: a.Adapters,
		Slots: u.slots(), StageTime: u.stageTime(), PrefillPerToken: time.Duration(perToken),
		Loading: u.state.Loading || !u.reported || a.Role != upstream.RoleServe,
		Leaving: u.isLeaving(), Ejected: ejected, Weight: weight, Load: u.load, Prefixes: u.prefixes,
	}
}

// slots returns the batch limit that the engine reported, else the one in the settings.
func (u *trackedUpstream) slots() int {
	if u.state.Slots > 0 {
		return u.state.Slots
	}
	return int(u.view.Upstream.Slots)
}

// routeServer returns the server of a plain service as input for the choice of servers.
func (u *trackedUpstream) routeServer(id fleet.RouteID, ejected bool, weight float64) route.Server {
	return route.Server{
		ID: u.id, Address: u.address, DataCentre: fleet.DataCentreID(u.view.Upstream.DataCentre), Route: id,
		ServiceTime: max(u.callTime, time.Millisecond), Slots: int(u.view.Upstream.Slots),
		Leaving: u.isLeaving(), Ejected: ejected, Weight: weight, Load: u.load,
	}
}

// plural returns a number with its noun in the singular or plural.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
