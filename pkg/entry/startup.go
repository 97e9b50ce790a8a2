package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/spread"
	"github.com/cornelline/cornelline/pkg/wire"
)

const (
	// snapshotRetryInterval is the time between two rounds of requests to the peers for
	// their state.
	snapshotRetryInterval = 500 * time.Millisecond
	// snapshotTimeout bounds the transfer of one peer's state. The state of 2,800 teams
	// at 1 KB each is 2.8 MB, a fraction of a second on the slowest link.
	snapshotTimeout = 5 * time.Second
)

// errNotReady is returned to a peer that requests the state before this VM has read it. Such
// a VM must not count as a peer that answered: otherwise VMs that start together during an
// outage would accept each other's empty state as the one in force.
var errNotReady = errors.New("no current state to offer")

// errUnknownSnapshot is returned to a peer that requests a part of a snapshot that this
// VM no longer holds.
var errUnknownSnapshot = errors.New("snapshot no longer held")

// offeredSnapshot holds the encoded state that peers fetch in parts.
type offeredSnapshot struct {
	mu sync.Mutex
	// covers is the settings offset up to which state is current.
	covers uint64
	state  []byte
}

// fetchFromPeers asks the seeds for the state of the settings stream until this VM has
// read it, because the log may be unavailable when the VM starts.
func (s *Server) fetchFromPeers(ctx context.Context) {
	for !s.hasReadSettings() {
		var asked sync.WaitGroup
		for _, seed := range s.cfg.Seeds {
			asked.Go(func() { s.fetchFrom(ctx, seed) })
		}
		asked.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(snapshotRetryInterval):
		}
	}
}

// fetchFrom fetches one peer's state and passes it to the replica. A peer that does not
// answer or has not read it either is asked again in the next round.
func (s *Server) fetchFrom(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	state, err := s.fetchState(ctx, peer)
	if err != nil {
		s.stats.Count("snapshot_fetch_failed")
		return
	}
	rec, err := record.Decode(state)
	if err != nil || rec.Snapshot == nil {
		s.stats.Count("snapshot_fetch_failed")
		return
	}
	s.settings.SnapshotReceived(ctx, peer, *rec.Snapshot)
}

// fetchState fetches the parts of a peer's state, joins them and checks the hash.
func (s *Server) fetchState(ctx context.Context, peer string) ([]byte, error) {
	first, err := s.fetchPart(ctx, peer, &spread.SnapshotWant{Stream: infra.SettingsStream})
	if err != nil {
		return nil, err
	}
	parts := []*spread.Snapshot{first}
	for i := 1; i < first.Parts; i++ {
		part, err := s.fetchPart(ctx, peer, &spread.SnapshotWant{Stream: infra.SettingsStream, Covers: first.Covers, Part: i})
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return spread.Join(parts)
}

func (s *Server) fetchPart(ctx context.Context, peer string, want *spread.SnapshotWant) (*spread.Snapshot, error) {
	answer, err := s.peers.Call(ctx, peer, want)
	if err != nil {
		return nil, err
	}
	part, ok := answer.(*spread.Snapshot)
	if !ok {
		return nil, fmt.Errorf("peer %s answered %T to a request for its state", peer, answer)
	}
	return part, nil
}

// offerState answers a peer's request for a part of this VM's state.
func (s *Server) offerState(ctx context.Context, want *spread.SnapshotWant) (wire.Message, error) {
	if !s.hasReadSettings() {
		return nil, errNotReady
	}
	o := &s.offered
	o.mu.Lock()
	defer o.mu.Unlock()
	if want.Covers == 0 {
		if err := s.encodeState(ctx, o); err != nil {
			return nil, err
		}
	}
	if want.Covers != 0 && want.Covers != o.covers {
		return nil, errUnknownSnapshot
	}
	return spread.Part(want.Stream, o.covers, s.settings.View().HighestOffset, o.state, want.Part), nil
}

// encodeState refreshes the offered state when the settings have changed since it was
// encoded. The caller holds o.mu.
func (s *Server) encodeState(ctx context.Context, o *offeredSnapshot) error {
	if o.state != nil && o.covers == s.settings.View().Offset {
		return nil
	}
	snapshot, err := s.settings.Snapshot(ctx)
	if err != nil {
		return err
	}
	state, err := record.Encode(record.Record{ID: record.NewID(), Kind: record.KindSnapshot, Snapshot: &snapshot})
	if err != nil {
		return err
	}
	o.covers, o.state = snapshot.Covers, state
	return nil
}
