package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// maxCacheEvents is the number of most recent cache events kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of the hashes of prompt blocks. The KV digests are always
// computed; a cache hit only shortens the simulated time.
type prefixCache struct {
	mu       sync.Mutex
	limit    int
	eventGap int
	recency  list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// lookupAndAdd returns the number of leading blocks that were cached, marks all blocks as
// recently used, and adds the missing ones.
func (c *prefixCache) lookupAndAdd(hashes []uint64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, hash := range hashes {
		if c.blocks[hash] == nil {
			break
		}
		cached++
	}
	for _, hash := range hashes {
		if element := c.blocks[hash]; element != nil {
			c.recency.MoveToBack(element)
			continue
		}
		c.blocks[hash] = c.recency.PushBack(hash)
		c.publish(hash, false)
	}
	for c.recency.Len() > c.limit {
		c.evict(c.recency.Front())
	}
	return cached
}

// evict removes a block and publishes its removal.
func (c *prefixCache) evict(element *list.Element) {
	hash := c.recency.Remove(element).(uint64)
	delete(c.blocks, hash)
	c.publish(hash, true)
}

// publish appends an event. Every eventGap-th event is dropped, though it uses up a
// sequence number.
func (c *prefixCache) publish(hash uint64, dropped bool) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%uint64(c.eventGap) == 0 {
		return
	}
	event := upstream.CacheEvent{Sequence: c.sequence, PrefixHash: hash, Dropped: dropped}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events with a higher sequence number whose age is at least lag.
func (c *prefixCache) eventsAfter(sequence uint64, lag time.Duration) upstream.CacheEventBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := upstream.CacheEventBatch{Next: sequence}
	for _, e := range c.events {
		if e.event.Sequence > sequence && time.Since(e.at) >= lag {
			batch.Events = append(batch.Events, e.event)
			batch.Next = e.event.Sequence
		}
	}
	return batch
}

// clear empties the cache and its event history without publishing removals, as in a crash.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = nil
	c.recency.Init()
	c.events = nil
}
