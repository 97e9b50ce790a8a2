package gateway

import (
	"context"
	"time"

	"github.com/cornelline/cornelline/pkg/peering"
)

const (
	// crashHistoryTime is the time after its start in which a VM asks others for what they know of
	// crashes, and after which it knows it from their messages.
	crashHistoryTime = 10 * time.Second
	// maxCrashHistories bounds the answers for which it asks until one is complete.
	maxCrashHistories = 3
)

// knowsCrashHistory reports whether this VM knows what the others know of crashes.
func (c *control) knowsCrashHistory(now time.Time) bool {
	return c.crashHistoryComplete || now.Sub(c.g.started) > crashHistoryTime
}

// wantsCrashHistory reports whether another VM is to be asked for what it knows of crashes.
func (c *control) wantsCrashHistory(now time.Time) bool {
	return !c.knowsCrashHistory(now) && c.crashHistories < maxCrashHistories
}

// adoptCrashHistory takes over what another VM knows of crashes. All VMs may stop in turn, so that
// soon none is left that has seen them.
func (c *control) adoptCrashHistory(now time.Time, offer *peering.StartOffer) {
	c.crashHistories++
	c.crashHistoryComplete = c.crashHistoryComplete || offer.CrashesComplete
	c.crashes.AdoptHistory(now, offer.Crashes)
	c.concludeCrashCauses(now)
}

// startOffer adds to an offer what this VM knows of crashes.
func (g *Gateway) startOffer(ctx context.Context, sized peering.SizedListOffer) (*peering.StartOffer, error) {
	answer := make(chan *peering.StartOffer, 1)
	g.control.post(func(now time.Time) {
		c := g.control
		answer <- &peering.StartOffer{Sized: sized, Crashes: c.crashes.History(now), CrashesComplete: c.knowsCrashHistory(now)}
	})
	select {
	case offer := <-answer:
		return offer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
