package gateway

import (
	"context"
	"os"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/platform"
)

// reloadInterval is the interval at which the settings file is read without a signal,
// because it may change without one.
const reloadInterval = 5 * time.Second

// FollowSettings reads the settings again at each signal and every reloadInterval until ctx
// ends. Changed bounds take effect; changed addresses do not, since the listeners are opened
// at the start.
func (g *Gateway) FollowSettings(ctx context.Context, signals <-chan os.Signal, load func() (platform.Settings, error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	boundsInForce := g.settings.Bounds
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		s, err := load()
		if err != nil {
			g.log.Log(event.Reloaded).Bool("signal", signalled).Str("outcome", "kept").Err(err).Send()
			continue
		}
		if s.Bounds != boundsInForce || signalled {
			g.log.Log(event.Reloaded).Bool("signal", signalled).Str("outcome", "in_force").Send()
		}
		if s.Bounds != boundsInForce {
			boundsInForce = s.Bounds
			g.control.post(func(time.Time) { g.setBounds(s.Bounds) })
		}
	}
}

// setBounds applies the limits of new settings.
func (g *Gateway) setBounds(b platform.Bounds) {
	g.platformBounds.Store(&b)
	g.setRetryLimits(time.Now())
}
