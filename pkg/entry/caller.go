package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/explain"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/intakehttp"
	"github.com/cornelline/cornelline/pkg/result"
)

// requestInfo holds what the key and the headers of an authenticated request say,
// and the request's explanation.
type requestInfo struct {
	id       fleet.RequestID
	team     fleet.TeamID
	rank     fleet.Rank
	arrived  time.Time
	deadline time.Time
	trace    *explain.Recorder
}

// addStep adds a step to the request's explanation.
func (info *requestInfo) addStep(step string, upstream fleet.UpstreamID, detail string) {
	info.trace.Add(time.Now(), step, upstream, detail)
}

// hashKey returns the SHA-256 hash of a key in hexadecimal, the form in which the
// settings hold keys.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// bearerHash returns the hash of the key in the Authorization header, "" when it
// holds none.
func bearerHash(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}
	return hashKey(key)
}

// authenticate returns the team that the request's key belongs to.
func (s *Server) authenticate(r *http.Request) (fleet.TeamID, error) {
	team, ok := s.directory().teamByKeyHash[bearerHash(r)]
	if !ok {
		return "", result.New(result.Unauthenticated, result.NotRun, "no valid team key in the Authorization header")
	}
	return team, nil
}

// isOperator reports whether the request carries an operator's key. The key of the
// start configuration is valid only while the settings name no operator keys.
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

// beginRequest authenticates the request, reads its headers and begins its
// explanation, which names target as what the request is for.
func (s *Server) beginRequest(r *http.Request, defaultRank *fleet.Rank, target string) (*requestInfo, error) {
	team, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	info := &requestInfo{id: newRequestID(), team: team, arrived: time.Now()}
	if info.rank, err = s.rankOf(r, team, defaultRank); err != nil {
		return nil, err
	}
	if info.deadline, err = s.deadlineOf(r, info); err != nil {
		return nil, err
	}
	info.trace = s.traces.Begin(explain.Trace{
		Request: info.id, Team: team, Rank: info.rank.String(), VM: s.cfg.VM, Target: target, Arrived: info.arrived,
	})
	return info, nil
}

// rankOf returns the rank in the header, else defaultRank, else the team's default.
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

// deadlineOf returns the deadline in the header, which is a duration or a time, else
// the default of the rank. By default, Overnight work is due at dawn at the latest.
func (s *Server) deadlineOf(r *http.Request, info *requestInfo) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return s.directory().defaultDeadline(info.team, info.rank, info.arrived), nil
	}
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return info.arrived.Add(d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, result.New(result.InvalidHeader, result.NotRun, "%s: want a duration such as 1400ms or an RFC 3339 time, got %q", headerDeadline, text)
	}
	if !at.After(info.arrived) {
		return time.Time{}, result.New(result.InvalidHeader, result.NotRun, "%s: %s has passed", headerDeadline, text)
	}
	return at, nil
}

// bodyReadTimeout bounds the time in which a caller must send its body.
const bodyReadTimeout = time.Minute

// intakeRetryAfter is the retry delay of a caller for whose body there is no room. Bodies that make
// no progress give way within a second.
const intakeRetryAfter = time.Second

// readBody reads the request's body up to limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not supported in tests without a network
	held := intakehttp.FromContext(r.Context())
	err := held.Admit()
	var body []byte
	if err == nil {
		body, err = held.ReadWholeBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	}
	var tooLarge *http.MaxBytesError
	var turnedAway *intakehttp.TurnedAwayError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case errors.As(err, &turnedAway):
		w.Header().Set("Connection", "close")
		return nil, result.New(result.IntakeFull, result.NotRun, "this VM has no room for the body").WithRetryAfter(intakeRetryAfter)
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, result.New(result.MalformedBody, result.NotRun, "the body could not be read").WithCause(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyTooLarge(limit int64) error {
	return result.New(result.BodyTooLarge, result.NotRun, "the body is larger than %d bytes", limit)
}

// newRequestID returns an identifier that sorts by creation time.
func newRequestID() fleet.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return fleet.RequestID(id.String())
}
