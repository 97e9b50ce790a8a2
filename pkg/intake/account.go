package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

// Kind is a kind of memory that a caller holds.
type Kind uint8

// The kinds of memory.
const (
	Connection Kind = iota
	Header
	Serving
	Body
	Answer
	kinds
)

var kindNames = [kinds]string{"connection", "header", "serving", "body", "answer"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Cause says why a caller was turned away.
type Cause uint8

// The causes for which callers are turned away.
const (
	NoCause Cause = iota
	// Full: what the caller sends does not fit into the account.
	Full
	// OverPart: the caller's address or team holds more than its even part of a full account.
	OverPart
	// Stalled: the connection made no progress while others needed room.
	Stalled
	// Yielded: an unfinished body of the largest holder made room for another one.
	Yielded
	// IdleClosed: the connection had no request while others needed connections.
	IdleClosed
	// NoConnection: all connections are taken by requests.
	NoConnection
)

var causeNames = [...]string{"none", "full", "over_part", "stalled", "yielded", "idle", "no_connection"}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

type phase uint8

const (
	// idle: no byte of a request has been read.
	idle phase = iota
	// inHeader: the header of a request is incomplete.
	inHeader
	// inBody: the body of a request is incomplete.
	inBody
	// running: the request is complete.
	running
	// finishing: the request has been served; its answer may still be on its way.
	finishing
)

// Conn is a connection of a caller.
type Conn struct {
	// Handle is for the owner of the connection.
	Handle any

	address, team string
	opened        time.Time
	// received and written count bytes, and writing is set during a write.
	received, written atomic.Int64
	writing           atomic.Bool
	ended             atomic.Bool

	// The rest is guarded by the account.
	index int
	phase phase
	// served is set once a request has ended on the connection, and idleSince orders the
	// connections by their last request.
	served    bool
	idleSince uint64
	held      [kinds]int64
	// refused is set if the present request was refused for want of room, and cause is why the
	// connection ended.
	refused bool
	cause   Cause
	// seenAt is when a scan first saw the present phase, and progressAt when one last saw
	// progress, at which progress was the number of bytes; zero if no scan has seen the phase.
	seenAt     time.Time
	progressAt time.Time
	progress   int64
}

// Received records bytes of a body. It needs no lock.
func (c *Conn) Received(n int) { c.received.Add(int64(n)) }

// BeginWrite records the begin of a write, which blocks while the caller does not read.
func (c *Conn) BeginWrite() { c.writing.Store(true) }

// EndWrite records the end of a write of n bytes.
func (c *Conn) EndWrite(n int) {
	c.written.Add(int64(n))
	c.writing.Store(false)
}

// Ended reports whether the account has ended the connection.
func (c *Conn) Ended() bool { return c.ended.Load() }

// holding returns the bytes of the present request.
func (c *Conn) holding() int64 {
	return c.held[Header] + c.held[Serving] + c.held[Body] + c.held[Answer]
}

// Ending is a connection that must end.
type Ending struct {
	Conn  *Conn
	Cause Cause
	// Answer is set if the request has not run, so that it can be refused. Otherwise the
	// connection must be closed.
	Answer bool
}

// Account counts what callers hold. It is safe for concurrent use.
type Account struct {
	mu     sync.Mutex
	limits Limits
	conns  []*Conn
	used   [kinds]int64
	total  int64
	// byAddress and byTeam hold the bytes of requests; connectionsOf the connections.
	byAddress, byTeam map[string]int64
	connectionsOf     map[string]int
	requests          uint64
	// lastScan and lastMark are the times of the last scans.
	lastScan, lastMark time.Time
}

// New returns an empty account.
func New(limits Limits) *Account {
	return &Account{limits: limits, byAddress: map[string]int64{}, byTeam: map[string]int64{}, connectionsOf: map[string]int{}}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Usage is what callers hold at present.
type Usage struct {
	Connections int
	Bytes       [kinds]int64 // by Kind
}

// Usage returns what callers hold at present.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Connections: len(a.conns), Bytes: a.used}
}

// Open admits a new connection. Without room it returns nil and the connection must be closed.
func (a *Account) Open(now time.Time, address string, handle any) (*Conn, []Ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mark(now)
	var endings []Ending
	if len(a.conns) >= a.limits.Connections {
		endings = a.endConnections(now)
		// What ends is closed at once, so that its place is free.
		if len(a.conns)-len(endings) >= a.limits.Connections {
			return nil, endings
		}
	}
	// Requests leave no room for connections when they fill the account, so connections may
	// exceed it by the part that a large request leaves free.
	if a.total+connectionBytes > a.limits.Bytes+int64(largestReserve*float64(a.limits.Bytes)) {
		return nil, append(endings, a.makeRoom(now, nil, connectionBytes)...)
	}
	c := &Conn{Handle: handle, address: address, opened: now, index: len(a.conns), idleSince: a.requests}
	a.conns = append(a.conns, c)
	a.connectionsOf[address]++
	a.add(c, Connection, connectionBytes)
	return c, endings
}

// HeaderRead records bytes of a header with so many line ends. If it reports false, the connection
// must be closed.
func (a *Account) HeaderRead(now time.Time, c *Conn, bytes, lines int) (bool, []Ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == idle {
		a.enter(c, inHeader)
	}
	c.received.Add(int64(bytes))
	ok, _, endings := a.reserve(now, c, Header, int64(bytes)*headerFactor+int64(lines)*headerLineBytes)
	return ok, endings
}

// BeginRequest records a complete header. It reports false if the connection has ended and the
// request must not be served.
func (a *Account) BeginRequest(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ended.Load() {
		return false
	}
	a.enter(c, running)
	return true
}

// SetTeam records the team of the present request.
func (a *Account) SetTeam(c *Conn, team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addTeam(c, -c.holding())
	c.team = team
	a.addTeam(c, c.holding())
}

// BeginBody records that the body of the request is about to be read.
func (a *Account) BeginBody(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enter(c, inBody)
}

// EndBody records that the body is complete. It reports false if the connection has ended.
func (a *Account) EndBody(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ended.Load() {
		return false
	}
	a.enter(c, running)
	return true
}

// Reserve takes bytes for the present request. Without room it returns the cause and the
// connections that must end to make room.
func (a *Account) Reserve(now time.Time, c *Conn, kind Kind, bytes int64) (Cause, []Ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ended.Load() {
		return c.cause, nil
	}
	ok, cause, endings := a.reserve(now, c, kind, bytes)
	c.refused = c.refused || !ok && kind != Answer
	return cause, endings
}

// Admit reserves what a request takes while it is served.
func (a *Account) Admit(now time.Time, c *Conn) (Cause, []Ending) {
	return a.Reserve(now, c, Serving, requestBytes)
}

// Release gives bytes of the present request back before its end.
func (a *Account) Release(c *Conn, kind Kind, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(c, kind, -min(bytes, c.held[kind]))
}

// EndRequest gives back all that the present request holds.
func (a *Account) EndRequest(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endRequest(c)
	a.enter(c, finishing)
}

// BecomeIdle records that the answer has been written and that the connection is kept.
func (a *Account) BecomeIdle(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enter(c, idle)
	c.refused = false
	a.requests++
	c.served, c.idleSince = true, a.requests
}

// Close gives back all that a connection holds. A further call does nothing.
func (a *Account) Close(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.index < 0 {
		return
	}
	a.endRequest(c)
	a.add(c, Connection, -c.held[Connection])
	if a.connectionsOf[c.address]--; a.connectionsOf[c.address] == 0 {
		delete(a.connectionsOf, c.address)
	}
	last := a.conns[len(a.conns)-1]
	a.conns[c.index], last.index = last, c.index
	a.conns[len(a.conns)-1] = nil
	a.conns = a.conns[:len(a.conns)-1]
	c.index = -1
	c.ended.Store(true)
}

// IsOpen reports whether a connection has not been closed.
func (a *Account) IsOpen(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.index >= 0
}

func (a *Account) endRequest(c *Conn) {
	for _, kind := range []Kind{Header, Serving, Body, Answer} {
		a.add(c, kind, -c.held[kind])
	}
	c.team = ""
}

func (a *Account) enter(c *Conn, p phase) {
	c.phase, c.seenAt, c.progressAt = p, time.Time{}, time.Time{}
}

// add changes what a connection holds. A closed connection holds nothing.
func (a *Account) add(c *Conn, kind Kind, bytes int64) {
	if c.index < 0 || bytes == 0 {
		return
	}
	c.held[kind] += bytes
	a.used[kind] += bytes
	a.total += bytes
	if kind == Connection {
		return
	}
	addTo(a.byAddress, c.address, bytes)
	a.addTeam(c, bytes)
}

func (a *Account) addTeam(c *Conn, bytes int64) {
	if c.team != "" && c.index >= 0 {
		addTo(a.byTeam, c.team, bytes)
	}
}

// addTo changes an entry of a map and removes it when it becomes zero.
func addTo(m map[string]int64, key string, bytes int64) {
	if m[key] += bytes; m[key] == 0 {
		delete(m, key)
	}
}

// reserve takes bytes if they fit.
func (a *Account) reserve(now time.Time, c *Conn, kind Kind, bytes int64) (bool, Cause, []Ending) {
	if c.index < 0 {
		return false, Full, nil
	}
	a.mark(now)
	// A large request must leave as much room as it holds, so that small ones still fit.
	reserve := min(c.holding()+bytes, int64(largestReserve*float64(a.limits.Bytes)))
	if a.total+bytes+reserve > a.limits.Bytes {
		return false, Full, a.makeRoom(now, c, bytes+reserve)
	}
	if float64(a.total) > partShare*float64(a.limits.Bytes) && a.isOverPart(c, bytes) {
		return false, OverPart, nil
	}
	a.add(c, kind, bytes)
	return true, NoCause, nil
}

// isOverPart reports whether the address or the team of a connection would hold more than its
// even part of the account.
func (a *Account) isOverPart(c *Conn, bytes int64) bool {
	over := func(m map[string]int64, key string) bool {
		return len(m) > 1 && key != "" && (m[key]+bytes)*int64(len(m)) > a.limits.Bytes
	}
	return over(a.byAddress, c.address) || over(a.byTeam, c.team)
}
