package route

import "sync/atomic"

// prefixSlots is the maximum number of prefix blocks recorded per engine, a power
// of two. 4,096 blocks take 32 KB per engine.
const prefixSlots = 4096

// PrefixTable records the prompt prefixes in an engine's cache according to its
// cache events. Events arrive late and with gaps, so an entry is only a hint. A
// block replaces another one that hashes to the same slot. The table is safe for
// concurrent use and shared by successive snapshots.
type PrefixTable struct{ slots [prefixSlots]atomic.Uint64 }

// Add records a prefix block as cached.
func (t *PrefixTable) Add(hash uint64) { t.slots[hash%prefixSlots].Store(hash) }

// Drop removes a prefix block that the engine no longer caches.
func (t *PrefixTable) Drop(hash uint64) { t.slots[hash%prefixSlots].CompareAndSwap(hash, 0) }

// Reset removes all blocks. It is called after a restart of the engine or a gap in
// its events.
func (t *PrefixTable) Reset() {
	for i := range t.slots {
		t.slots[i].Store(0)
	}
}

// Has reports whether the block is recorded as cached.
func (t *PrefixTable) Has(hash uint64) bool {
	return hash != 0 && t.slots[hash%prefixSlots].Load() == hash
}

// Match returns the number of leading blocks of a prompt that are recorded as
// cached. chain holds their chained hashes, so a cached block implies the earlier
// ones.
func (t *PrefixTable) Match(chain []uint64) int {
	for i := len(chain); i > 0; i-- {
		if t.Has(chain[i-1]) {
			return i
		}
	}
	return 0
}
