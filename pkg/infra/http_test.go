package infra_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/standin"
)

// TestLogErrors guards against an append whose error contradicts whether the append
// took effect.
func TestLogErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults standin.Faults
		kind   error
		sent   bool
		added  int
	}{
		{"outage", standin.Faults{Outage: true}, infra.ErrUnavailable, true, 0},
		{"crash", standin.Faults{Crashed: true}, infra.ErrUnavailable, false, 0},
		{"lost answer", standin.Faults{LoseAnswers: true}, infra.ErrUnavailable, true, 1},
		{"late answer", standin.Faults{AnswerDelay: standin.Duration(time.Minute)}, infra.ErrUnavailable, true, 1},
		{"slow", standin.Faults{SlowFactor: 1e6}, infra.ErrUnavailable, true, 0},
		{"stall", standin.Faults{Stall: standin.StallAll}, infra.ErrUnavailable, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, client, stop := logFixture(t, standin.LogConfig{})
				defer stop()
				log.SetFaults(test.faults)
				_, err := client.Append(t.Context(), "settings", [][]byte{[]byte("a")})
				var failure *infra.Error
				is.True(errors.As(err, &failure))
				is.True(errors.Is(err, test.kind))
				is.Equal(failure.Sent, test.sent)
				log.SetFaults(standin.Faults{})
				batch, err := client.Read(t.Context(), "settings", 1, 10)
				is.NoErr(err)
				is.Equal(len(batch.Records), test.added)
			})
		})
	}
}

// logFixture starts a stand-in of the log and returns it, its client and a function that
// stops its server.
func logFixture(t *testing.T, config standin.LogConfig) (*standin.Log, *infra.HTTPLog, func()) {
	t.Helper()
	network := standin.NewNetwork()
	log := standin.NewLog(config)
	server, err := standin.NewServer(log, "10.0.0.9:80", network.Listen)
	if err != nil {
		t.Fatal(err)
	}
	return log, infra.NewHTTPLog("http://10.0.0.9:80", network.Client()), server.Close
}

// TestLogOffsetsAndRetention guards against missing or repeated offsets, a read of
// dropped records that returns no error, and appends beyond the rate limit.
func TestLogOffsetsAndRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, client, stop := logFixture(t, standin.LogConfig{AppendsPerSecond: 10, KeepRecords: 4, KeepFor: standin.Duration(time.Hour)})
		defer stop()
		ctx := t.Context()
		first, err := client.Append(ctx, "claims", [][]byte{[]byte("a"), []byte("b"), []byte("c")})
		is.NoErr(err)
		is.Equal(first, uint64(1))
		_, err = client.Append(ctx, "claims", [][]byte{[]byte("d")})
		is.True(errors.Is(err, infra.ErrRateLimited))
		time.Sleep(time.Second)
		first, err = client.Append(ctx, "claims", [][]byte{[]byte("d"), []byte("e")})
		is.NoErr(err)
		is.Equal(first, uint64(4))
		batch, err := client.Read(ctx, "claims", 1, 10)
		is.True(errors.Is(err, infra.ErrTruncated))
		is.Equal(batch.First, uint64(2))
		is.Equal(batch.Next, uint64(6))
		batch, err = client.Read(ctx, "claims", 3, 2)
		is.NoErr(err)
		is.Equal(len(batch.Records), 2)
		is.Equal(string(batch.Records[0].Data), "c")
		time.Sleep(2 * time.Hour)
		batch, err = client.Read(ctx, "claims", 6, 10)
		is.NoErr(err)
		is.Equal(batch.First, uint64(6))
	})
}

// TestVMListLags guards against a stand-in that shows changes immediately. The router
// must not rely on that.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := standin.NewNetwork()
		list := standin.NewVMList(standin.VMListConfig{Lag: standin.Duration(10 * time.Second)})
		server, err := standin.NewServer(list, "10.0.0.8:80", network.Listen)
		is.NoErr(err)
		defer server.Close()
		client := infra.NewHTTPVMList("10.0.0.8:80", network.Client())
		list.Set([]infra.VMEntry{{ID: "vm1"}})
		vms, err := client.List(context.Background())
		is.NoErr(err)
		is.Equal(len(vms), 0)
		time.Sleep(10 * time.Second)
		vms, err = client.List(context.Background())
		is.NoErr(err)
		is.Equal(len(vms), 1)
	})
}
