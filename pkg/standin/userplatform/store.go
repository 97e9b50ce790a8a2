// Package userplatform holds small stand-ins of the users' platform for tests and
// the demo: its store, its model engines and its plain servers. They speak the
// published protocol and have faults that a test switches on; they decide nothing.
package userplatform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	// first is the oldest offset that is kept.
	first int
}

type group struct {
	generation int
	members    map[string]time.Time
	holder     string
}

// Store is a stand-in of the platform's store with keyed topics and groups.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	change chan struct{}
	// down answers every call with 503.
	down bool
	// lose carries out writes without an answer.
	lose bool
	// silent takes calls and answers none of them, also not later.
	silent bool
	calls  int
	// reads counts the reads of each topic.
	reads map[string]int
	// era rises with each Restore; 0 leaves its header out.
	era int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, groups: map[string]*group{}, reads: map[string]int{}, change: make(chan struct{}), era: 1}
}

// Copy is the store's content at a moment.
type Copy struct {
	topics map[string]*topic
	groups map[string]*group
}

// clone returns a copy that shares nothing with c.
func (c Copy) clone() Copy {
	out := Copy{topics: map[string]*topic{}, groups: map[string]*group{}}
	for name, t := range c.topics {
		out.topics[name] = &topic{records: slices.Clone(t.records), first: t.first}
	}
	for name, g := range c.groups {
		out.groups[name] = &group{generation: g.generation, members: maps.Clone(g.members), holder: g.holder}
	}
	return out
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.topics, s.groups}.clone()
}

// Restore brings the store back from a copy: what was written since is gone, and offsets
// are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := c.clone()
	s.topics, s.groups = own.topics, own.groups
	s.era++
	close(s.change) // reads that wait look again
	s.change = make(chan struct{})
}

// SetEra sets the era that the answers name; 0 leaves the header out.
func (s *Store) SetEra(era int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// nameEra sets the header of the era. Callers hold the lock.
func (s *Store) nameEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
}

// SetDown switches the answers off or on.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetSilent makes the store take calls without any answer, or no longer does. Calls that
// wait when it falls silent, or come while it is, are never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		close(s.change) // reads that wait look again
		s.change = make(chan struct{})
	}
}

// SetLose loses the answers to writes, or no longer does.
func (s *Store) SetLose(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Reads returns the number of reads of a topic so far.
func (s *Store) Reads(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[name]
}

// Put writes a record as the operator or a server does; a nil value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record{key, value})
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topics[name]; t != nil {
		t.first = len(t.records)
	}
}

// Rebalance gives a group's partition to another member, without a request.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[name]
	if g == nil {
		return
	}
	old := g.holder
	for m := range g.members {
		if m != old {
			g.holder = m
		}
	}
	g.generation++
}

func (s *Store) append(name string, r record) {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	t.records = append(t.records, r)
	close(s.change)
	s.change = make(chan struct{})
}

// ServeHTTP answers the platform's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	if r.Method == http.MethodGet {
		s.reads[r.URL.Query().Get("topic")]++
	}
	down, silent := s.down, s.silent
	s.nameEra(w)
	s.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that a caller left only behind the body
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-newest":
		s.newest(w, r)
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-append":
		s.write(w, r)
	case "/v1/log-join":
		s.join(w, r)
	case "/v1/log-leave":
		s.leave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	end := 0
	if t := s.topics[r.URL.Query().Get("topic")]; t != nil {
		end = len(t.records)
		newest := map[string]int{}
		for i, rec := range t.records {
			newest[rec.key] = i
		}
		for key, i := range newest {
			if t.records[i].value != nil {
				items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[i].value), i})
			}
		}
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("source"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.silent {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		t, change := s.topics[q.Get("topic")], s.change
		if t == nil {
			t = &topic{}
		}
		s.nameEra(w) // the store may have come back meanwhile
		if from < t.first || from > len(t.records) {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first_offset": first})
			return
		}
		if from < len(t.records) || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, uint64(t.first))
			for _, rec := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-change:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	if at := r.URL.Query().Get("at"); at != "" {
		end := 0
		if t := s.topics[name]; t != nil {
			end = len(t.records)
		}
		if at != strconv.Itoa(end) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		body = body[4+size:]
		var entry record
		if size > 0 {
			n := 1 + int(rec[0])
			entry = record{key: string(rec[1:n]), value: rec[n:]}
		}
		s.append(name, entry)
	}
	lose := s.lose
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"offset": 0, "end_offset": 0})
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Group, Member string
		TTL           int `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[ask.Group]
	if g == nil {
		g = &group{members: map[string]time.Time{}}
		s.groups[ask.Group] = g
	}
	now := time.Now()
	if _, known := g.members[ask.Member]; !known {
		g.generation++
	}
	g.members[ask.Member] = now.Add(time.Duration(ask.TTL) * time.Millisecond)
	if until, ok := g.members[g.holder]; !ok || now.After(until) {
		delete(g.members, g.holder)
		g.holder = ask.Member
		g.generation++
	}
	parts := [][]any{}
	if g.holder == ask.Member {
		parts = append(parts, []any{"lead", 0, 0})
	}
	writeJSON(w, map[string]any{"generation": g.generation, "ttl_ms": ask.TTL, "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var ask struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[ask.Group]; g != nil {
		delete(g.members, ask.Member)
		if g.holder == ask.Member {
			g.holder = ""
		}
		g.generation++
	}
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller sees a truncated answer
}
