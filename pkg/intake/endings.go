package intake

import (
	"slices"
	"time"
)

// mark records the progress of all connections under pressure, so that those without progress are
// known when room is needed.
func (a *Account) mark(now time.Time) {
	pressed := float64(a.total) > calmShare*float64(a.limits.Bytes) || float64(len(a.conns)) > calmShare*float64(a.limits.Connections)
	if !pressed || now.Sub(a.lastMark) < markInterval {
		return
	}
	a.lastMark = now
	for _, c := range a.conns {
		c.recordProgress(now)
	}
}

// recordProgress compares the bytes of a connection with those at an earlier time.
func (c *Conn) recordProgress(now time.Time) {
	if c.seenAt.IsZero() {
		c.seenAt = now
	}
	bytes, waiting := c.received.Load(), false
	if !c.isUnfinished() {
		bytes, waiting = c.written.Load(), !c.writing.Load()
	}
	if c.progressAt.IsZero() || waiting || bytes-c.progress >= minProgress {
		c.progressAt, c.progress = now, bytes
	}
}

// isStalled reports whether a connection that is due to send or to read makes no progress, or has
// been sending the same request for too long.
func (c *Conn) isStalled(now time.Time) bool {
	if c.phase == idle || c.progressAt.IsZero() {
		return false
	}
	return now.Sub(c.progressAt) >= stallTime || c.isUnfinished() && now.Sub(c.seenAt) >= unfinishedTime
}

// isSpare reports whether a connection has nothing to do: it is kept or lingers after its last
// answer or a refusal, or it is new and silent.
func (c *Conn) isSpare(now time.Time) bool {
	switch c.phase {
	case idle:
		return c.served || now.Sub(c.opened) >= stallTime
	case finishing:
		return c.refused || !c.writing.Load() && now.Sub(c.seenAt) >= finishTime
	}
	return false
}

// isUnfinished reports whether the request is incomplete, so that it has not run.
func (c *Conn) isUnfinished() bool { return c.phase == inHeader || c.phase == inBody }

// end marks a connection as ended.
func (c *Conn) end(cause Cause) Ending {
	c.cause = cause
	c.ended.Store(true)
	return Ending{Conn: c, Cause: cause, Answer: c.phase == inBody}
}

// scanDue reports whether another scan that ends connections is due, and begins it.
func (a *Account) scanDue(now time.Time) bool {
	if now.Sub(a.lastScan) < scanInterval {
		return false
	}
	a.lastScan = now
	return true
}

// makeRoom ends connections so that bytes fit: stalled ones first, those that hold most before
// others, then unfinished bodies of holders that hold more than the one that asks. What they hold
// is given back when they have ended. The connection that asks may be nil.
func (a *Account) makeRoom(now time.Time, asking *Conn, bytes int64) []Ending {
	if !a.scanDue(now) {
		return nil
	}
	needed := a.total + bytes - a.limits.Bytes + int64(batchShare*float64(a.limits.Bytes))
	var stalled, larger []*Conn
	unfinished := map[string]int64{}
	for _, c := range a.conns {
		if c.ended.Load() {
			needed -= c.holding() // about to be given back
			continue
		}
		c.recordProgress(now)
		if c.isUnfinished() {
			unfinished[c.address] += c.holding()
			unfinished["team "+c.team] += c.holding()
		}
		switch {
		case c == asking:
		case c.isStalled(now):
			stalled = append(stalled, c)
		case c.phase == inBody:
			larger = append(larger, c)
		}
	}
	weight := func(c *Conn) int64 {
		if c.team == "" {
			return unfinished[c.address]
		}
		return max(unfinished[c.address], unfinished["team "+c.team])
	}
	var endings []Ending
	slices.SortFunc(stalled, func(x, y *Conn) int { return int(y.holding() - x.holding()) })
	for _, c := range stalled {
		if needed <= 0 {
			return endings
		}
		needed -= c.holding()
		endings = append(endings, c.end(Stalled))
	}
	if asking == nil {
		return endings
	}
	least := weight(asking)
	slices.SortFunc(larger, func(x, y *Conn) int { return int(weight(y) - weight(x)) })
	for _, c := range larger {
		if needed <= 0 || weight(c) <= least {
			return endings
		}
		needed -= c.holding()
		endings = append(endings, c.end(Yielded))
	}
	return endings
}

// endConnections ends a batch of connections so that others can be admitted: idle and silent
// ones, then unfinished headers, then stalled requests. Within each class those of addresses
// with more than their even part of the connections end first, then the oldest.
func (a *Account) endConnections(now time.Time) []Ending {
	if !a.scanDue(now) {
		return nil
	}
	type candidate struct {
		conn     *Conn
		class    int
		overPart bool
	}
	part := a.limits.Connections / max(len(a.connectionsOf), 1)
	var candidates []candidate
	for _, c := range a.conns {
		if c.ended.Load() {
			continue
		}
		c.recordProgress(now)
		class := 0
		switch {
		case c.isSpare(now):
		case c.phase == inHeader && c.isStalled(now):
			class = 1
		case c.isStalled(now):
			class = 2
		default:
			continue
		}
		candidates = append(candidates, candidate{c, class, a.connectionsOf[c.address] > part})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		switch {
		case x.class != y.class:
			return x.class - y.class
		case x.overPart != y.overPart && x.overPart:
			return -1
		case x.overPart != y.overPart:
			return 1
		case x.conn.idleSince != y.conn.idleSince:
			return int(x.conn.idleSince) - int(y.conn.idleSince)
		}
		return x.conn.opened.Compare(y.conn.opened)
	})
	batch := max(int(batchShare*float64(a.limits.Connections)), 1)
	var endings []Ending
	for _, x := range candidates[:min(batch, len(candidates))] {
		cause := Stalled
		if x.class == 0 {
			cause = IdleClosed
		}
		e := x.conn.end(cause)
		e.Answer = false
		endings = append(endings, e)
	}
	return endings
}
