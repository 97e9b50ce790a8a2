package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// PathExportKV is where an engine fetches a KV cache from another one. The
// answer is the header of the cache as one JSON line, then the cache itself.
const PathExportKV = "/v1/kv/export"

// digestBytes is the size of a KV digest in a transfer.
const digestBytes = 8

// chunkDigests is the number of KV digests that are sent or read at once.
const chunkDigests = 64

// kvHeader identifies a KV cache. As a request it names the wanted one, as the
// head of the answer the one that follows.
type kvHeader struct {
	Upstream  fleet.UpstreamID `json:"upstream"`
	Session   string           `json:"session"`
	Model     fleet.ModelID    `json:"model"`
	Version   string           `json:"version"`
	Layers    fleet.LayerRange `json:"layers"`
	Positions int              `json:"positions"`
}

// wantedKV returns the header that the cache of a source must have.
func wantedKV(source upstream.KVSource) kvHeader {
	return kvHeader{
		Upstream: source.Upstream, Session: source.Session, Model: source.Model,
		Version: source.Version, Layers: source.Layers, Positions: source.Positions,
	}
}

// serveExport sends the first positions of a session's KV cache at the engine's rate.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var wanted kvHeader
	if !readJSON(w, r, &wanted) {
		return
	}
	start := time.Now()
	header, digests, err := e.held(wanted)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(w).Encode(header)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	sent := 0
	for chunk := range slices.Chunk(digests, chunkDigests) {
		sent += len(chunk)
		if e.pace(r.Context(), start, sent) != nil {
			panic(http.ErrAbortHandler)
		}
		_ = binary.Write(w, binary.LittleEndian, chunk)
		_ = flush()
	}
}

// held returns what the engine holds of the wanted KV cache. The header states
// what is held; the engine that asked compares.
func (e *Engine) held(wanted kvHeader) (kvHeader, []uint64, error) {
	session := e.crossed(wanted.Session)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[wanted.Session]
	if s == nil || wanted.Positions < 1 || e.positions(s) < wanted.Positions || e.loading {
		return kvHeader{}, nil, refuse(upstream.RefusedPosition, "session %s has no KV cache of %d positions", wanted.Session, wanted.Positions)
	}
	a := e.assignment
	header := kvHeader{
		Upstream: fleet.UpstreamID(e.id), Session: session, Model: a.Model,
		Version: a.Version, Layers: a.Layers, Positions: wanted.Positions,
	}
	return header, slices.Clone(s.kv[:wanted.Positions*a.Layers.Len()]), nil
}

// importFrom fetches a KV cache from its source and replaces the session's own by it.
func (e *Engine) importFrom(ctx context.Context, source upstream.KVSource) (upstream.SessionProgress, error) {
	if err := e.checkImport(source); err != nil {
		return upstream.SessionProgress{}, err
	}
	digests, err := e.fetchKV(ctx, source)
	if err != nil {
		return upstream.SessionProgress{}, err
	}
	answered := e.crossed(source.Session)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkImportLocked(source); err != nil {
		return upstream.SessionProgress{}, err
	}
	s := e.session(source.Session)
	s.interrupt()
	s.kv = digests
	return upstream.SessionProgress{Session: answered, Attempt: s.attempt, NextPosition: e.positions(s)}, nil
}

// checkImport refuses a KV cache for other weights or for an attempt that is not to come.
func (e *Engine) checkImport(source upstream.KVSource) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkImportLocked(source)
}

func (e *Engine) checkImportLocked(source upstream.KVSource) error {
	own := upstream.StageRef{Upstream: fleet.UpstreamID(e.id), Layers: source.Layers}
	err := e.checkAssignment(forwardRequest{Model: source.Model, Version: source.Version, Chain: []upstream.StageRef{own}})
	if err != nil {
		return err
	}
	return e.sessions[source.Session].checkNew(source.Attempt)
}

// fetchKV reads a KV cache from its source. Its errors name the source, except
// when ctx ended.
func (e *Engine) fetchKV(ctx context.Context, source upstream.KVSource) ([]uint64, error) {
	digests, err := e.readKV(ctx, source)
	if err == nil || ctx.Err() != nil {
		return digests, err
	}
	var refusal *stageError
	if !errors.As(err, &refusal) {
		refusal = &stageError{status: http.StatusBadGateway, message: err.Error()}
	}
	return nil, &stageError{
		status:  refusal.status,
		message: fmt.Sprintf("KV cache of %s: %s", source.Upstream, refusal.message),
		failed:  source.Upstream,
		refusal: refusal.refusal,
	}
}

// readKV asks the source for the KV cache and reads it at the engine's rate.
func (e *Engine) readKV(ctx context.Context, source upstream.KVSource) ([]uint64, error) {
	start := time.Now()
	wanted := wantedKV(source)
	request, err := json.Marshal(wanted)
	if err != nil {
		return nil, err
	}
	caller := e.peers.caller(source.Address)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, caller.URL(PathExportKV), bytes.NewReader(request))
	if err != nil {
		return nil, err
	}
	resp, _, err := caller.Do(req, true)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	body := bufio.NewReader(resp.Body)
	line, err := body.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	var header kvHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, err
	}
	if header != wanted {
		return nil, refuse(upstream.RefusedOther, "got %+v instead of %+v", header, wanted)
	}
	return e.readDigests(ctx, start, body, wanted.Positions*wanted.Layers.Len())
}

// readDigests reads exactly so many KV digests up to the end of the body.
func (e *Engine) readDigests(ctx context.Context, start time.Time, body *bufio.Reader, count int) ([]uint64, error) {
	var digests []uint64
	buffer := make([]byte, chunkDigests*digestBytes)
	for len(digests) < count {
		chunk := buffer[:min(chunkDigests, count-len(digests))*digestBytes]
		if _, err := io.ReadFull(body, chunk); err != nil {
			return nil, err
		}
		for part := range slices.Chunk(chunk, digestBytes) {
			digests = append(digests, binary.LittleEndian.Uint64(part))
		}
		if err := e.pace(ctx, start, len(digests)); err != nil {
			return nil, err
		}
	}
	if _, err := body.ReadByte(); err != io.EOF {
		return nil, fmt.Errorf("no end after %d digests: %v", count, err)
	}
	return digests, nil
}

// readRefusal returns the error of an answer other than 200.
func readRefusal(resp *http.Response) error {
	var body upstream.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return err
	}
	return &stageError{status: resp.StatusCode, message: body.Message, refusal: body.Refusal}
}

// pace waits until so many KV digests may have moved since the start.
func (e *Engine) pace(ctx context.Context, start time.Time, digests int) error {
	seconds := float64(digests*e.config.KVBytes) / e.config.KVRate * e.slow()
	return sleep(ctx, time.Until(start.Add(time.Duration(seconds*float64(time.Second)))))
}

// crossed returns the session that a KV answer names: another one when the fault says so.
func (e *Engine) crossed(session string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transfers++
	if every := e.faults.CrossEvery; every > 0 && e.transfers%every == 0 {
		return "other-" + session
	}
	return session
}
