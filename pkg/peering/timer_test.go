package peering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/peering"
)

// TestStateMessagesAreNotSynchronized guards against synchronized state messages: VMs
// that send at the same moments choose chains by equally old reservations, and all
// choose the same ones. The test models a heavily loaded fleet of 31 VMs that all start
// at the same moment and receive new configurations at the same moments.
func TestStateMessagesAreNotSynchronized(t *testing.T) {
	is := is.New(t)
	const vms, tick = 31, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1e9, 0)
	timers := make([]peering.StateTimer, vms)
	peak, sent := 0, 0
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		changed := at > 0 && at%(5*time.Second) == 0
		due := 0
		for i := range timers {
			if changed {
				timers[i].SendNow()
			}
			if timers[i].Due(start.Add(at), peering.StateInterval(vms), random.Float64()) {
				due++
			}
		}
		sent += due
		if at > 3*time.Second && !changed { // the messages spread within a few rounds after the start
			peak = max(peak, due)
		}
	}
	is.True(peak <= vms/2)
	// The regular messages of 60 s at a mean of 100 ms, rounded up to a tick, plus the extra ones.
	is.True(sent <= vms*(60*1000/100+12))
	is.True(sent >= vms*60*1000/120)
}

// TestSendNow checks that a requested message is due at once and only once, and does
// not delay the next regular one.
func TestSendNow(t *testing.T) {
	is := is.New(t)
	var timer peering.StateTimer
	now := time.Unix(1e9, 0)
	is.True(timer.Due(now, peering.StateInterval(4), 0.5)) // the next is due after 100 ms
	is.True(!timer.Due(now.Add(40*time.Millisecond), peering.StateInterval(4), 0.5))
	timer.SendNow()
	is.True(timer.Due(now.Add(80*time.Millisecond), peering.StateInterval(4), 0.5))
	is.True(!timer.Due(now.Add(99*time.Millisecond), peering.StateInterval(4), 0.5))
	is.True(timer.Due(now.Add(100*time.Millisecond), peering.StateInterval(4), 0.5))
}

// TestReceivedMessagesDoNotGrowWithTheFleet guards against a number of received
// messages per second that grows with the fleet.
func TestReceivedMessagesDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{32, 100, 300, 3200} {
		var timer peering.StateTimer
		sent, start := 0, time.Unix(1e9, 0)
		const length = 600 * time.Second
		for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
			if timer.Due(start.Add(at), peering.StateInterval(vms), 0.5) {
				sent++
			}
		}
		received := float64(sent) / length.Seconds() * float64(vms)
		is.True(received <= 325) // 32 VMs at 10 a second, and the one at the start
	}
}

// TestUnchangedStateIsSentLessOften guards against a large fleet that spends most of its
// processor time on messages that repeat the ones before. A VM must still be heard often enough
// that others do not take it for gone, and a changed state must not wait longer than before.
func TestUnchangedStateIsSentLessOften(t *testing.T) {
	is := is.New(t)
	const mean = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 1))
	var timer peering.StateTimer
	start := time.Unix(1e9, 0)
	last, sent, longest := start, 0, time.Duration(0)
	for now := start; now.Before(start.Add(100 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if timer.DueIfChanged(now, mean, random.Float64(), false) {
			sent++
			longest, last = max(longest, now.Sub(last)), now
		}
	}
	is.True(sent > 400 && sent < 550)                  // about 1,000 with a changed state
	is.True(longest <= 2*mean*3/2+20*time.Millisecond) // two of the longest intervals
	timer.SendNow()
	is.True(timer.DueIfChanged(last, mean, 0.5, false))
	changed := 0
	for now := start; now.Before(start.Add(100 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if timer.DueIfChanged(now.Add(time.Hour), mean, random.Float64(), true) {
			changed++
		}
	}
	is.True(changed > 850)
}
