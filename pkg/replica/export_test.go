package replica

import (
	"context"
	"time"
)

// Pause stops the runner's goroutine for d, as a paused VM would.
func (r *Runner) Pause(ctx context.Context, d time.Duration) {
	r.do(ctx, func(time.Time) []Action {
		time.Sleep(d)
		return nil
	})
}
