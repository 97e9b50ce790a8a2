package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cornelline/cornelline/pkg/fleettest"
)

// rackNodes is the number of VMs in a rack, a tenth of a data centre of 178.
const rackNodes = 18

// settleTime is longer than the time for which membership treats a VM as newly started.
const settleTime = 3 * time.Minute

// incident is a failure or restart in a fleet.
type incident struct {
	name   string
	window time.Duration
	start  func(c *fleettest.Cluster)
	// followUp, if set, runs two seconds after start.
	followUp func(c *fleettest.Cluster)
}

// incidents run one after another in one region of the fleet expected in two years. Node
// i belongs to data centre i modulo 3.
var incidents = []incident{
	{name: "nothing", window: 30 * time.Second, start: func(*fleettest.Cluster) {}},
	{name: "one VM restarts", window: 30 * time.Second,
		start:    func(c *fleettest.Cluster) { c.Leave(c.Nodes[100]) },
		followUp: func(c *fleettest.Cluster) { c.Start(c.Nodes[100], 0) }},
	{name: "one VM dies", window: 30 * time.Second, start: func(c *fleettest.Cluster) { c.Stop(c.Nodes[101]) }},
	{name: "a rack of 18 VMs dies", window: 30 * time.Second, start: func(c *fleettest.Cluster) {
		for i := range rackNodes {
			c.Stop(c.Nodes[150+3*i])
		}
	}},
	{name: "a data centre of 178 VMs dies", window: 90 * time.Second, start: func(c *fleettest.Cluster) {
		for i := 2; i < len(c.Nodes); i += 3 {
			if c.Nodes[i].Up {
				c.Stop(c.Nodes[i])
			}
		}
	}},
}

// printIncidents measures the bytes sent because of each incident and the time until the
// views are correct again. The bytes of an incident are those beyond the traffic of the
// same number of nodes without an incident.
func printIncidents(seed uint64) {
	c := fleettest.New(fleettest.Layout{Regions: 1, DataCentresPerRegion: 3, Nodes: regionNodes}, seed)
	c.StartAll(2 * time.Second)
	c.RunUntil(2*time.Minute, c.FullViews)
	c.Run(settleTime)
	fmt.Printf("\nIncidents in one region of %d VMs, virtual time (bytes sent by all VMs, TCP headers included):\n", regionNodes)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "incident\tKB beyond the usual\tlargest VM, KB in its worst second\tviews right after\t")
	baseline := 0.0
	for _, x := range incidents {
		c.ResetTraffic()
		x.start(c)
		if x.followUp != nil {
			c.Run(2 * time.Second)
			x.followUp(c)
		}
		took, ok := c.RunUntil(x.window, c.FullViews)
		c.Run(x.window - min(x.window, took))
		sent, largest, up := c.Totals()
		perNode := sent / x.window.Seconds() / float64(up)
		if baseline == 0 {
			baseline = perNode
		}
		after := round(took).String()
		if !ok {
			after = "not within " + x.window.String()
		}
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%s\t\n", x.name, (perNode-baseline)*x.window.Seconds()*float64(up)/1000, largest/1000, after)
	}
	_ = w.Flush()
}
