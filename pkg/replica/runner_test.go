package replica_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
)

// fakeLog is an in-memory log with a fixed latency per append and a limit on appends
// per second.
type fakeLog struct {
	mu      sync.Mutex
	records []infra.Record
	first   uint64
	latency time.Duration
	limit   *rate.Limiter // nil for none
	// loseAnswers and dropCalls are the numbers of next appends to fail. An append
	// whose answer is lost takes effect, a dropped one doesn't.
	loseAnswers, dropCalls int
	down                   bool
	appends                int
}

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (uint64, error) {
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case l.down:
		return 0, infra.ErrUnavailable
	case l.limit != nil && !l.limit.Allow():
		return 0, infra.ErrRateLimited
	case l.dropCalls > 0:
		l.dropCalls--
		return 0, infra.ErrUnavailable
	}
	l.appends++
	first := uint64(len(l.records)) + 1
	for i, data := range records {
		l.records = append(l.records, infra.Record{Offset: first + uint64(i), AppendedAt: now, Data: data})
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, infra.ErrUnavailable
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int) (infra.Batch, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := infra.Batch{First: max(1, l.first), Next: uint64(len(l.records)) + 1}
	switch {
	case l.down:
		return infra.Batch{}, infra.ErrUnavailable
	case from < b.First:
		return b, infra.ErrTruncated
	}
	for o := from; o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, l.records[o-1])
	}
	return b, nil
}

// startRunner starts a runner over the log and gives it two seconds to become ready.
func startRunner(ctx context.Context, l infra.Log, cfg replica.RunnerConfig) *replica.Runner {
	cfg.Log = l
	if cfg.Params == (replica.Parameters{}) {
		cfg.Params = replica.DefaultParameters()
	}
	cfg.PendingLimit = time.Minute
	r := replica.NewRunner(cfg)
	go r.Run(ctx)
	time.Sleep(2 * time.Second)
	return r
}

// runnerContext returns a context for runners and a function that ends them. The
// function also waits for their calls to the log, because virtual time stops when the
// test returns.
func runnerContext(t *testing.T) (context.Context, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(time.Minute)
	}
}

func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

var keyCounter atomic.Uint64

// newKey returns a version 7 UUID with the current virtual time. It does not use
// uuid.NewV7, which never returns a time before that of an earlier call, because each
// test starts at the same virtual time.
func newKey() (key uuid.UUID) {
	binary.BigEndian.PutUint64(key[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(key[8:], keyCounter.Add(1))
	key[6], key[8] = 0x70, 0x80
	return key
}

func newRequest(key string) replica.ClaimRequest {
	return replica.ClaimRequest{Team: "mill", Route: "orders", Key: key, BodyHash: sha256.Sum256([]byte("order"))}
}

// TestSettingsOverLostAnswers guards against a settings change that is reported as
// lost or as a conflict although its append took effect, and against a dropped append
// that is never repeated.
func TestSettingsOverLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := runnerContext(t)
		defer stop()
		l := &fakeLog{latency: 10 * time.Millisecond, loseAnswers: 1}
		r := startRunner(ctx, l, replica.RunnerConfig{})
		version, err := r.ProposeSettings(ctx, record.Settings{Branch: "fleet", Value: []byte(`{"drain":{"max":"90s"}}`)})
		is.NoErr(err)
		is.Equal(version, uint64(1))
		time.Sleep(time.Second)
		l.dropCalls = 1
		version, err = r.ProposeSettings(ctx, record.Settings{Branch: "fleet", Base: 1, Value: []byte(`{"drain":{"max":"80s"}}`)})
		is.NoErr(err)
		is.Equal(version, uint64(2))
		_, err = r.ProposeSettings(ctx, record.Settings{Branch: "fleet", Base: 1, Value: []byte(`{}`)})
		is.Equal(codeOf(err), result.SettingsConflict)
		_, err = r.ProposeSettings(ctx, record.Settings{Branch: "fleet", Base: 2, Value: []byte(`{"drain":{"max":90}}`)})
		is.Equal(codeOf(err), result.SettingsInvalid)
	})
}

// TestClaimOnce guards against two VMs that are both allowed to send a call with the
// same key, and against a repeated call that doesn't get the recorded response.
func TestClaimOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := runnerContext(t)
		defer stop()
		l := &fakeLog{latency: 10 * time.Millisecond}
		a := startRunner(ctx, l, replica.RunnerConfig{VM: "a"})
		b := startRunner(ctx, l, replica.RunnerConfig{VM: "b"})
		key := newKey().String()
		d, err := a.Claim(ctx, newRequest(key))
		is.NoErr(err)
		_, err = b.Claim(ctx, newRequest(key))
		is.Equal(codeOf(err), result.ClaimInProgress)
		is.NoErr(a.Done(ctx, record.Done{Claim: d.Claim, Status: 200, Body: []byte("ok")}))
		time.Sleep(time.Second)
		d, err = b.Claim(ctx, newRequest(key))
		is.NoErr(err)
		is.Equal(string(d.Replay.Body), "ok")
		other := newRequest(key)
		other.BodyHash[0]++
		_, err = b.Claim(ctx, other)
		is.Equal(codeOf(err), result.KeyReused)
	})
}

// TestRelay guards against a VM without access to the log that ignores the records
// that a peer relays, or applies them with a gap.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := runnerContext(t)
		defer stop()
		l := &fakeLog{latency: time.Millisecond}
		reader := startRunner(ctx, l, replica.RunnerConfig{KeepRecords: 2})
		cut := startRunner(ctx, &fakeLog{down: true}, replica.RunnerConfig{})
		var relayed []infra.Record
		reader.OnRecord(func(lr infra.Record) { relayed = append(relayed, lr) })
		for _, branch := range []string{"team/a", "team/b", "team/c"} {
			_, err := reader.ProposeSettings(ctx, record.Settings{Branch: branch, Value: []byte(`{}`)})
			is.NoErr(err)
		}
		cut.RecordsReceived(ctx, relayed[:1])
		cut.RecordsReceived(ctx, relayed[2:])
		is.Equal(cut.View().Offset, uint64(1))
		is.Equal(cut.View().HighestOffset, uint64(3))
		is.Equal(len(reader.RecordsFrom(ctx, 1)), 0) // no longer kept
		cut.RecordsReceived(ctx, reader.RecordsFrom(ctx, 2))
		is.Equal(cut.View().Tree.Version("team/c"), uint64(3))
		is.True(!cut.View().Ready)
	})
}
