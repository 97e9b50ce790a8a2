package replica

import (
	"context"

	"github.com/cornelline/cornelline/pkg/record"
)

// Append proposes a record and waits until it is read back or ctx ends. The
// error only says that the record was not read back here; OnLease and OnChange
// tell which records are valid.
func (r *Runner) Append(ctx context.Context, rec record.Record) error {
	if o := r.propose(ctx, rec, nil); !o.decided {
		return unavailable("the record was not read back")
	}
	return nil
}
