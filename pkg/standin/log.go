package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelline/cornelline/pkg/infra"
)

// maxReadRecords is the maximum number of records that one read returns.
const maxReadRecords = 1000

// LogConfig describes the stand-in of the log service.
type LogConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// AppendsPerSecond limits the rate of append calls; calls above it get status 429. Default 300.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// KeepRecords is the maximum number of records kept per stream; 0 means no limit.
	KeepRecords int `json:"keep_records"`
	// KeepFor is the maximum age of the kept records; 0 means no limit.
	KeepFor Duration `json:"keep_for"`
	// Delay is the duration of a call; Faults.SlowFactor multiplies it. Default 1ms.
	Delay Duration `json:"delay"`
}

// Log is the stand-in of the log service. Its records survive crashes.
type Log struct {
	*faultable
	config  LogConfig
	limiter *rate.Limiter
	routes  *http.ServeMux

	streamsMu sync.Mutex
	streams   map[string]*stream
}

// stream holds the kept records. firstOffset is the offset of the oldest one, or the next
// offset if there is none.
type stream struct {
	firstOffset uint64
	records     []infra.Record
}

// NewLog returns a log stand-in.
func NewLog(config LogConfig) *Log {
	setDefault(&config.ID, "log")
	setDefault(&config.AppendsPerSecond, 300)
	setDefault(&config.Delay, Duration(time.Millisecond))
	l := &Log{
		faultable: newFaultable(config.ID),
		config:    config,
		limiter:   rate.NewLimiter(rate.Limit(config.AppendsPerSecond), max(1, int(config.AppendsPerSecond/10))),
		routes:    http.NewServeMux(),
		streams:   map[string]*stream{},
	}
	l.routes.HandleFunc("POST "+infra.PathStreams+"{stream}/records", l.serveAppend)
	l.routes.HandleFunc("GET "+infra.PathStreams+"{stream}/records", l.serveRead)
	return l
}

// ServeHTTP serves appends, reads and PathFaults.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.serve(w, r, l.routes) }

// delayCall waits for the configured delay and for the end of a stall. It returns false
// if the request ends first.
func (l *Log) delayCall(r *http.Request) bool {
	delay := time.Duration(float64(l.config.Delay) * l.slowFactor())
	return sleep(r.Context(), delay) == nil && l.awaitRunning(r.Context(), StallCompute) == nil
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req infra.AppendRequest
	if !readJSON(w, r, &req) || !l.delayCall(r) {
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	first := l.add(r.PathValue("stream"), req.Records)
	f := l.Faults()
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if sleep(r.Context(), time.Duration(f.AnswerDelay)) == nil {
		writeJSON(w, http.StatusOK, infra.AppendResponse{First: first})
	}
}

// add appends the records and returns the offset of the first one.
func (l *Log) add(name string, records [][]byte) uint64 {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	s := l.stream(name)
	next := s.firstOffset + uint64(len(s.records))
	now := time.Now()
	for i, data := range records {
		s.records = append(s.records, infra.Record{Offset: next + uint64(i), AppendedAt: now, Data: data})
	}
	l.expire(s, now)
	return next
}

// stream returns the stream with the given name, creating it if needed. Callers hold
// streamsMu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{firstOffset: 1}
		l.streams[name] = s
	}
	return s
}

// expire drops the records beyond KeepRecords and those older than KeepFor.
func (l *Log) expire(s *stream, now time.Time) {
	drop := 0
	if l.config.KeepRecords > 0 {
		drop = max(0, len(s.records)-l.config.KeepRecords)
	}
	for l.config.KeepFor > 0 && drop < len(s.records) && now.Sub(s.records[drop].AppendedAt) > time.Duration(l.config.KeepFor) {
		drop++
	}
	s.firstOffset += uint64(drop)
	s.records = s.records[drop:]
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.delayCall(r) {
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("max"))
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	batch, available := l.read(r.PathValue("stream"), from, limit)
	if l.Faults().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !available {
		status = http.StatusGone
	}
	writeJSON(w, status, batch)
}

// read returns at most limit records from an offset on. It returns false if the record at
// that offset has expired.
func (l *Log) read(name string, from uint64, limit int) (infra.Batch, bool) {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	s := l.stream(name)
	l.expire(s, time.Now())
	batch := infra.Batch{First: s.firstOffset, Next: s.firstOffset + uint64(len(s.records))}
	if from < s.firstOffset {
		return batch, false
	}
	if from < batch.Next {
		records := s.records[from-s.firstOffset:]
		batch.Records = records[:min(limit, len(records))]
	}
	return batch, true
}
