package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON spells with a unit, such as "250ms".
type Duration time.Duration

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a duration with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// sleep waits for the time or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
