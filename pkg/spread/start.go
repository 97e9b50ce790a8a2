package spread

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// PartSize is the maximum size of a snapshot part in bytes. It is below the frame limit of
// 1 MiB.
const PartSize = 256 << 10

// ErrSnapshotHash is returned for a snapshot whose parts do not match its hash or each other.
var ErrSnapshotHash = errors.New("snapshot does not match its hash")

// Part returns the part of a state that a SnapshotWant requests.
func Part(stream string, covers, highest uint64, state []byte, part int) *Snapshot {
	parts := max(1, (len(state)+PartSize-1)/PartSize)
	part = min(max(part, 0), parts-1)
	return &Snapshot{
		Stream: stream, Covers: covers, Highest: highest, Hash: sha256.Sum256(state),
		Part: part, Parts: parts,
		State: state[part*PartSize : min((part+1)*PartSize, len(state))],
	}
}

// Join assembles a state from its parts, which must be in order, and verifies its hash.
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

// Starter decides from which peer a starting VM loads its state and when the VM is ready to
// serve. Offers are the first parts of peers' snapshots.
type Starter struct {
	// Seeds is the number of configured seed peers.
	Seeds int

	answered map[string]bool
	best     *Snapshot
	source   string
	highest  uint64
}

// Offer records the offer of a peer. The peer counts as answered even if its state is older
// than that of other peers.
func (s *Starter) Offer(peer string, offer *Snapshot) {
	if s.answered == nil {
		s.answered = make(map[string]bool)
	}
	s.answered[peer] = true
	s.highest = max(s.highest, offer.Highest, offer.Covers)
	if s.best == nil || offer.Covers > s.best.Covers {
		s.best, s.source = offer, peer
	}
}

// Best returns the offer with the highest offset and the peer that made it, or nil.
func (s *Starter) Best() (*Snapshot, string) { return s.best, s.source }

// Highest returns the highest offset known to any peer that answered.
func (s *Starter) Highest() uint64 { return s.highest }

// Ready reports whether a VM may serve that has applied the stream up to an offset. If it has
// read the log, it must have applied all offsets known to it and to the peers. Otherwise
// half of its seeds must have answered, and it must have applied the newest state among
// their offers.
func (s *Starter) Ready(applied, highest uint64, logRead bool) bool {
	if logRead {
		return applied >= max(s.highest, highest)
	}
	quorum := max(1, (s.Seeds+1)/2)
	return len(s.answered) >= quorum && s.best != nil && applied >= s.best.Covers
}
