package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/fleettest"
	"github.com/cornelline/cornelline/pkg/share"
	"github.com/cornelline/cornelline/pkg/wire"
)

// Two-year size of the ledger of shared rates, from docs/design.md, 1.6.
const (
	teams       = 2800
	localVMs    = 178
	otherDCs    = 17
	activeTeams = 100 // teams with demand at one VM at a time
	shareTime   = 30 * time.Second
)

// printShare measures one VM's ledger at the two-year size in virtual time. All
// active teams lack rate, so it asks as much as it ever does.
func printShare() {
	before := memory()
	now := time.Unix(0, 0)
	l := share.NewLedger("vm-0", "10.0.0.0:7443", now, rand.New(rand.NewPCG(1, 1)))
	var p share.Place
	for i := range localVMs {
		id := fmt.Sprint("vm-", i)
		p.Members = append(p.Members, share.Holder{ID: fleet.VMID(id), Address: "10.0.0.1:7443"})
	}
	for i := range otherDCs {
		p.Remotes = append(p.Remotes, share.RemoteCentre{ID: fleet.DataCentreID(fmt.Sprint("dc-", i)), Contact: "10.1.0.1:7443", Live: localVMs})
	}
	for i := range teams {
		l.SetRate(fmt.Sprintf("team/t-%04d", i), 1000)
	}
	cpu := processorTime()
	l.SetPlace(now, p)
	join := processorTime() - cpu
	cpu = processorTime()
	bytes, messages := 0, 0
	for end := now.Add(shareTime); now.Before(end); now = now.Add(fleettest.TickInterval) {
		l.SetPlace(now, p)
		for i := range activeTeams {
			l.Demand(fmt.Sprintf("team/t-%04d", i*teams/activeTeams), 1)
		}
		for _, s := range l.Tick(now) {
			size, err := wire.Size(s.Message)
			if err != nil {
				panic(err) // a message type that the wire does not know is a fault of this program
			}
			bytes += size + fleettest.HeaderBytes
			messages++
		}
	}
	used := processorTime() - cpu
	after := memory()
	fmt.Printf("\nShared rates, %d teams, %d VMs: %.3f%% of a core, %.0f KB, %.2f KB/s asked in %.1f messages/s; a change of members takes %v\n",
		teams, localVMs, 100*used.Seconds()/shareTime.Seconds(),
		float64(after.HeapAlloc-min(after.HeapAlloc, before.HeapAlloc))/1024,
		float64(bytes)/1000/shareTime.Seconds(), float64(messages)/shareTime.Seconds(), join.Round(time.Millisecond))
	runtime.KeepAlive(l)
}
