package replica

import (
	"context"
	"time"
)

// Pause blocks the runner's goroutine for d, to simulate a paused VM.
func (r *Runner) Pause(ctx context.Context, d time.Duration) {
	r.do(ctx, func(time.Time) []Action {
		time.Sleep(d)
		return nil
	})
}
