package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/explain"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// caller is an authenticated team's request as its headers describe it.
type caller struct {
	id       fleet.RequestID
	team     fleet.TeamID
	rank     fleet.Rank
	arrived  time.Time
	deadline time.Time
	trace    *explain.Recorder
}

// note adds a step to the request's explanation.
func (c *caller) note(what string, upstream fleet.UpstreamID, detail string) {
	c.trace.Add(time.Now(), what, upstream, detail)
}

// hashKey returns the form in which the settings hold a key.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// bearerHash returns the hash of the request's key, "" when it has none.
func bearerHash(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}
	return hashKey(key)
}

// authenticate returns the team whose key the request carries.
func (s *Server) authenticate(r *http.Request) (fleet.TeamID, error) {
	team, ok := s.directory().teamByKey[bearerHash(r)]
	if !ok {
		return "", result.New(result.Unauthenticated, result.NotRun, "no valid team key in the Authorization header")
	}
	return team, nil
}

// isOperator reports whether the request carries an operator's key.
func (s *Server) isOperator(r *http.Request) bool {
	hash := bearerHash(r)
	if hash == "" {
		return false
	}
	d := s.directory()
	if len(d.local.Operators.KeyHashes) == 0 {
		return hash == s.cfg.OperatorKeyHash
	}
	return d.tree.IsOperatorKeyHash(hash)
}

// identify authenticates the request and reads its headers. target names what
// the request is for in its explanation.
func (s *Server) identify(r *http.Request, defaultRank *fleet.Rank, target string) (*caller, error) {
	team, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	c := &caller{id: newRequestID(), team: team, arrived: time.Now()}
	if c.rank, err = s.rankOf(r, team, defaultRank); err != nil {
		return nil, err
	}
	if c.deadline, err = s.deadlineOf(r, c); err != nil {
		return nil, err
	}
	c.trace = s.traces.Begin(explain.Trace{
		Request: c.id, Team: team, Rank: c.rank.String(), VM: s.cfg.VM, Target: target, Arrived: c.arrived,
	})
	return c, nil
}

// rankOf returns the rank in the header, else the default of route or team.
func (s *Server) rankOf(r *http.Request, team fleet.TeamID, defaultRank *fleet.Rank) (fleet.Rank, error) {
	name := r.Header.Get(headerRank)
	if name != "" {
		rank, err := fleet.ParseRank(name)
		if err != nil {
			return 0, result.New(result.InvalidHeader, result.NotRun, "%s: %v", headerRank, err)
		}
		return rank, nil
	}
	if defaultRank != nil {
		return *defaultRank, nil
	}
	return s.directory().team(team).Team.DefaultRank, nil
}

// deadlineOf returns the deadline in the header, a duration or a time, else the
// default of the rank. Overnight work is due at dawn by default.
func (s *Server) deadlineOf(r *http.Request, c *caller) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return s.directory().defaultDeadline(c.team, c.rank, c.arrived), nil
	}
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return c.arrived.Add(d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, result.New(result.InvalidHeader, result.NotRun, "%s: want a duration such as 1400ms or an RFC 3339 time, got %q", headerDeadline, text)
	}
	if !at.After(c.arrived) {
		return time.Time{}, result.New(result.InvalidHeader, result.NotRun, "%s: %s has passed", headerDeadline, text)
	}
	return at, nil
}

// readBody reads the request's body up to limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		return nil, result.New(result.BodyTooLarge, result.NotRun, "the body is larger than %d bytes", limit)
	}
	return nil, result.New(result.MalformedBody, result.NotRun, "the body could not be read").WithCause(err)
}

// newRequestID returns an identifier that sorts by time.
func newRequestID() fleet.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return fleet.RequestID(id.String())
}
