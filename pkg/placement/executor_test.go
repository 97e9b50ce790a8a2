package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// fakeEngine answers state reads and orders. If silent, it does not answer state
// reads before the context ends.
type fakeEngine struct {
	upstream.Engine
	silent bool
	orders []upstream.Order
}

func (f *fakeEngine) State(ctx context.Context) (upstream.EngineState, error) {
	if f.silent {
		<-ctx.Done()
		return upstream.EngineState{}, ctx.Err()
	}
	return upstream.EngineState{Upstream: "a"}, nil
}

func (f *fakeEngine) Order(_ context.Context, o upstream.Order) error {
	f.orders = append(f.orders, o)
	return nil
}

// TestExecutor guards against orders that are sent after the lease ended, against
// engines that delay others by not answering, and against calls without a timeout.
func TestExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		good, silent := &fakeEngine{}, &fakeEngine{silent: true}
		events := make(chan Event, 10)
		x := &Executor{
			Engine: func(id fleet.UpstreamID) upstream.Engine {
				return map[fleet.UpstreamID]upstream.Engine{"a": good, "b": silent}[id]
			},
			Append:  func(context.Context, record.Record) error { return errSim },
			Replan:  func(Input) Plan { return Plan{Scale: 7} },
			Now:     time.Now,
			Deliver: func(e Event) { events <- e },
			Log:     func(LogEvent) {},
			Timeout: time.Second,
		}
		ctx := context.Background()
		x.Run(ctx, []Action{ReadState{"b"}, ReadState{"a"}, AppendLease{}, LogEvent{}})
		is.Equal((<-events).(StateRead).State.Upstream, fleet.UpstreamID("a"))
		is.Equal((<-events).(StateFailed).Upstream, fleet.UpstreamID("b"))
		x.Run(ctx, []Action{SendOrder{Upstream: "a", NotAfter: time.Now()}})
		is.Equal((<-events).(OrderAnswered).Err, errLeaseEnded)
		x.Run(ctx, []Action{SendOrder{Upstream: "a", NotAfter: time.Now().Add(time.Second)}})
		is.NoErr((<-events).(OrderAnswered).Err)
		is.Equal(len(good.orders), 1)
		x.Run(ctx, []Action{ComputePlan{Generation: 3}, SendOrder{Upstream: "none"}})
		x.Wait()
		is.Equal(len(events), 2)
	})
}
