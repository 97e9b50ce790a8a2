package entry

import (
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Expected times of the reference accelerator (speed 1) before anything is
// measured. 60 layers at 0.5 ms leave half of the 61 ms between tokens to links
// and queueing.
const (
	referenceLayerTime   = 500 * time.Microsecond
	referencePrefillTime = 20 * time.Microsecond
)

// stageScaleWeight is the weight of a new measurement in the moving average of
// measured over expected stage time.
const stageScaleWeight = 0.2

// condition is what the control goroutine knows of one upstream.
type condition struct {
	id       fleet.UpstreamID
	view     *settings.View
	address  string
	engine   upstream.Engine
	load     *route.Load
	prefixes *route.PrefixTable
	// state is the engine's last report; reported is false before the first one.
	state    upstream.EngineState
	reported bool
	// listedLeaving is set when the platform's VM list names the upstream as leaving.
	listedLeaving bool
	// stageScale is the moving average of measured over expected stage time.
	stageScale float64
	// callTime is the moving average of a plain service's answer time.
	callTime time.Duration
	stop     func()
}

func (c *condition) isEngine() bool { return c.view.Upstream.Kind == settings.KindEngine }

func (c *condition) leaving() bool { return c.state.Leaving || c.listedLeaving }

// usable reports whether the engine serves its layers and stays.
func (c *condition) usable() bool {
	return c.isEngine() && c.reported && !c.state.Loading && !c.leaving() && c.state.Assignment.Role == upstream.RoleServe
}

// stageTime returns the expected time of one token through the engine's layers.
func (c *condition) stageTime() time.Duration {
	expected := float64(c.state.Assignment.Layers.Len()) * float64(referenceLayerTime) / c.view.Upstream.Speed
	return time.Duration(expected * c.stageScale)
}

// measured books how long the engine's chain took for a token compared with the
// expected time of the whole chain.
func (c *condition) measured(ratio float64) {
	c.stageScale += stageScaleWeight * (ratio*c.stageScale - c.stageScale)
	c.stageScale = min(max(c.stageScale, 0.01), 100)
}

// served books the answer time of a plain service.
func (c *condition) served(d time.Duration) {
	if c.callTime == 0 {
		c.callTime = d
		return
	}
	c.callTime += time.Duration(stageScaleWeight * float64(d-c.callTime))
}

// routeEngine returns the engine as path choice sees it.
func (c *condition) routeEngine(ejected bool, weight float64) route.Engine {
	a := c.state.Assignment
	perToken := float64(a.Layers.Len()) * float64(referencePrefillTime) / c.view.Upstream.Speed
	return route.Engine{
		ID: c.id, Address: c.address, DataCentre: fleet.DataCentreID(c.view.Upstream.DataCentre),
		Model: a.Model, Version: a.Version, Layers: a.Layers, Adapters: a.Adapters,
		Slots: c.slots(), StageTime: c.stageTime(), PrefillPerToken: time.Duration(perToken),
		Loading: c.state.Loading || !c.reported || a.Role != upstream.RoleServe,
		Leaving: c.leaving(), Ejected: ejected, Weight: weight, Load: c.load, Prefixes: c.prefixes,
	}
}

// slots returns the engine's reported batch limit, else the one in the settings.
func (c *condition) slots() int {
	if c.state.Slots > 0 {
		return c.state.Slots
	}
	return int(c.view.Upstream.Slots)
}

// routeServer returns the server of a plain service as path choice sees it.
func (c *condition) routeServer(id fleet.RouteID, ejected bool, weight float64) route.Server {
	return route.Server{
		ID: c.id, Address: c.address, DataCentre: fleet.DataCentreID(c.view.Upstream.DataCentre), Route: id,
		Time: max(c.callTime, time.Millisecond), Slots: int(c.view.Upstream.Slots),
		Leaving: c.leaving(), Ejected: ejected, Weight: weight, Load: c.load,
	}
}

// plural returns a number with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
