// Package userplatform implements small stand-ins of the users' platform for tests and the
// demo: its store, its model engines and its plain servers. They speak the published
// protocol and have faults that a test can switch on. They make no decisions of their own.
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
	// firstOffset is the lowest offset that can still be read.
	firstOffset int
}

type group struct {
	generation int
	// members maps each member to the time at which its membership expires.
	members map[string]time.Time
	// holder is the member that holds the group's only partition.
	holder string
}

// Store is a stand-in of the platform's store with keyed topics and member groups.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	// changed is closed and replaced to wake up waiting reads.
	changed chan struct{}
	// down answers every call with 503.
	down bool
	// loseAnswers executes writes and closes the connection without an answer.
	loseAnswers bool
	// silent accepts calls and never answers them.
	silent bool
	// silentTopics and downTopics are the topics whose only partition is silent or down.
	silentTopics, downTopics map[string]bool
	calls                    int
	// reads counts the reads per topic.
	reads map[string]int
	// era is incremented by each Restore; 0 omits its header.
	era int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics: map[string]*topic{}, groups: map[string]*group{}, reads: map[string]int{}, changed: make(chan struct{}), era: 1,
		silentTopics: map[string]bool{}, downTopics: map[string]bool{},
	}
}

// Snapshot is the content of a store at one point in time.
type Snapshot struct {
	topics map[string]*topic
	groups map[string]*group
}

// clone returns a deep copy of s.
func (s Snapshot) clone() Snapshot {
	out := Snapshot{topics: map[string]*topic{}, groups: map[string]*group{}}
	for name, t := range s.topics {
		out.topics[name] = &topic{records: slices.Clone(t.records), firstOffset: t.firstOffset}
	}
	for name, g := range s.groups {
		out.groups[name] = &group{generation: g.generation, members: maps.Clone(g.members), holder: g.holder}
	}
	return out
}

// Snapshot returns a deep copy of the content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{s.topics, s.groups}.clone()
}

// Restore replaces the content with a snapshot. Records written since then are lost, and
// their offsets are assigned again.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := snapshot.clone()
	s.topics, s.groups = restored.topics, restored.groups
	s.era++
	close(s.changed) // waiting reads check again
	s.changed = make(chan struct{})
}

// SetEra sets the era sent in answers; 0 omits the header.
func (s *Store) SetEra(era int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// setEraHeader sets the era header of an answer. Callers hold the lock.
func (s *Store) setEraHeader(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
}

// SetDown sets whether the store answers every call with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetSilent sets whether the store is silent. Calls that are waiting when it becomes
// silent, or that arrive while it is silent, are never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		close(s.changed) // waiting reads check again
		s.changed = make(chan struct{})
	}
}

// SetTopicSilent is SetSilent for one topic; the others are served.
func (s *Store) SetTopicSilent(name string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTopics[name] = silent
	close(s.changed) // waiting reads check again
	s.changed = make(chan struct{})
}

// SetTopicDown sets whether the store answers the calls for one topic with status 503.
func (s *Store) SetTopicDown(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downTopics[name] = down
}

// SetLoseAnswers sets whether writes take effect without an answer.
func (s *Store) SetLoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = lose
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

// Records returns the number of records appended to a topic, or to a partition other than 0 of
// it, as NAME/PARTITION.
func (s *Store) Records(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topics[name]; t != nil {
		return len(t.records)
	}
	return 0
}

// Put appends a record, as the operator or a server does; a nil value removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record{key, value})
}

// DropHistory makes all offsets written so far unreadable. The newest record of each key
// remains available.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topics[name]; t != nil {
		t.firstOffset = len(t.records)
	}
}

// Rebalance assigns a group's partition to another member, without a request of that member.
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
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	if r.Method == http.MethodGet {
		s.reads[topicName(r)]++
	}
	name := topicName(r)
	down, silent := s.down || s.downTopics[name], s.silent || s.silentTopics[name]
	s.setEraHeader(w)
	s.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only once the body has been read
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

// topicName returns the topic of a call; a partition other than 0 is part of the name.
func topicName(r *http.Request) string {
	name, part := r.URL.Query().Get("topic"), r.URL.Query().Get("part")
	if part == "" || part == "0" {
		return name
	}
	return name + "/" + part
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
	if t := s.topics[topicName(r)]; t != nil {
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
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.silent || s.silentTopics[topicName(r)] {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		t, changed := s.topics[topicName(r)], s.changed
		if t == nil {
			t = &topic{}
		}
		s.setEraHeader(w) // Restore may have changed the era during the wait
		if from < t.firstOffset || from > len(t.records) {
			first := t.firstOffset
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first_offset": first})
			return
		}
		if from < len(t.records) || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, uint64(t.firstOffset))
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
		case <-changed:
		case <-timeout:
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
	name := topicName(r)
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
	loseAnswers := s.loseAnswers
	s.mu.Unlock()
	if loseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"offset": 0, "end_offset": 0})
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Group, Member string
		TTL           int `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[req.Group]
	if g == nil {
		g = &group{members: map[string]time.Time{}}
		s.groups[req.Group] = g
	}
	now := time.Now()
	if _, isMember := g.members[req.Member]; !isMember {
		g.generation++
	}
	g.members[req.Member] = now.Add(time.Duration(req.TTL) * time.Millisecond)
	if expiry, ok := g.members[g.holder]; !ok || now.After(expiry) {
		delete(g.members, g.holder)
		g.holder = req.Member
		g.generation++
	}
	parts := [][]any{}
	if g.holder == req.Member {
		parts = append(parts, []any{"lead", 0, 0})
	}
	writeJSON(w, map[string]any{"generation": g.generation, "ttl_ms": req.TTL, "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var req struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[req.Group]; g != nil {
		delete(g.members, req.Member)
		if g.holder == req.Member {
			g.holder = ""
		}
		g.generation++
	}
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // on an error the caller sees a truncated answer
}
