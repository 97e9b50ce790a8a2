package replica

import (
	"context"

	"github.com/cornelline/cornelline/pkg/record"
)

// Append proposes a record and waits until it is read back or ctx ends. An error
// means only that this VM did not read the record back: it may still be on the
// log. The OnLease and OnChange callbacks report which records are valid.
func (r *Runner) Append(ctx context.Context, rec record.Record) error {
	if o := r.propose(ctx, rec, nil); !o.decided {
		return unavailable("the record was not read back")
	}
	return nil
}
