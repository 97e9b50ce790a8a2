package peering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/peering"
)

// TestNewsStaysOutOfStep: load pattern of a heavy day on 31 VMs, all of which start at
// one moment and learn of a new configuration at one moment. Their regular news must
// stay spread over the interval: in step, all of them choose chains by equally old
// promises, and the same ones.
func TestNewsStaysOutOfStep(t *testing.T) {
	is := is.New(t)
	const vms, tick = 31, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1e9, 0)
	timers := make([]peering.NewsTimer, vms)
	worst, told := 0, 0
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		changed := at > 0 && at%(5*time.Second) == 0
		now := 0
		for i := range timers {
			if changed {
				timers[i].TellNow()
			}
			if timers[i].Due(start.Add(at), vms, random.Float64()) {
				now++
			}
		}
		told += now
		if at > 3*time.Second && !changed { // the start spreads within some rounds
			worst = max(worst, now)
		}
	}
	is.True(worst <= vms/2)
	// The regular news of 60 s at a mean of 750 ms, rounded up to a tick, and the extra ones.
	is.True(told <= vms*(60*1000/750+12))
	is.True(told >= vms*60*1000/850)
}

// TestNewsOutOfTurn: news that is asked for comes at once, once, and does not delay the
// regular one.
func TestNewsOutOfTurn(t *testing.T) {
	is := is.New(t)
	var timer peering.NewsTimer
	now := time.Unix(1e9, 0)
	is.True(timer.Due(now, 4, 0.5)) // the next is due after 250 ms
	is.True(!timer.Due(now.Add(100*time.Millisecond), 4, 0.5))
	timer.TellNow()
	is.True(timer.Due(now.Add(200*time.Millisecond), 4, 0.5))
	is.True(!timer.Due(now.Add(240*time.Millisecond), 4, 0.5))
	is.True(timer.Due(now.Add(250*time.Millisecond), 4, 0.5))
}
