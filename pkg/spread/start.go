package spread

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// PartSize is the size in bytes of a snapshot's parts, below the frame limit of 1 MiB.
const PartSize = 256 << 10

// ErrSnapshotHash is returned for a snapshot whose parts do not fit its hash.
var ErrSnapshotHash = errors.New("snapshot does not match its hash")

// Part returns the part of a state that a SnapshotWant asks for.
func Part(stream string, covers, highest uint64, state []byte, part int) *Snapshot {
	parts := max(1, (len(state)+PartSize-1)/PartSize)
	part = min(max(part, 0), parts-1)
	return &Snapshot{
		Stream: stream, Covers: covers, Highest: highest, Hash: sha256.Sum256(state),
		Part: part, Parts: parts,
		State: state[part*PartSize : min((part+1)*PartSize, len(state))],
	}
}

// Join assembles a state from its parts in order and checks its hash.
func Join(parts []*Snapshot) ([]byte, error) {
	var state bytes.Buffer
	for i, p := range parts {
		if p.Part != i || p.Parts != len(parts) || p.Hash != parts[0].Hash || p.Covers != parts[0].Covers {
			return nil, fmt.Errorf("part %d of snapshot at offset %d: %w", i, parts[0].Covers, ErrSnapshotHash)
		}
		state.Write(p.State)
	}
	if len(parts) == 0 || sha256.Sum256(state.Bytes()) != parts[0].Hash {
		return nil, ErrSnapshotHash
	}
	return state.Bytes(), nil
}

// Starter decides from where a starting VM takes its state and when it is
// ready. Offers are the first parts of peers' snapshots.
type Starter struct {
	// Seeds is the number of configured seed peers.
	Seeds int

	heard   map[string]bool
	best    *Snapshot
	source  string
	highest uint64
}

// Offer takes a peer's answer. The peer counts as heard even when it is behind.
func (s *Starter) Offer(peer string, offer *Snapshot) {
	if s.heard == nil {
		s.heard = make(map[string]bool)
	}
	s.heard[peer] = true
	s.highest = max(s.highest, offer.Highest, offer.Covers)
	if s.best == nil || offer.Covers > s.best.Covers {
		s.best, s.source = offer, peer
	}
}

// Best returns the offer with the highest offset and the peer that made it, or nil.
func (s *Starter) Best() (*Snapshot, string) { return s.best, s.source }

// Highest returns the highest offset that any peer has heard of.
func (s *Starter) Highest() uint64 { return s.highest }

// Ready reports whether a VM that has applied up to an offset may serve: it
// heard from the log and has all that was heard of, or it heard from half of its
// seeds and has the newest state that any of them has in force.
func (s *Starter) Ready(applied, highest uint64, logHeard bool) bool {
	if logHeard {
		return applied >= max(s.highest, highest)
	}
	quorum := max(1, (s.Seeds+1)/2)
	return len(s.heard) >= quorum && s.best != nil && applied >= s.best.Covers
}
