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

// PathExportKV is the path from which an engine fetches a KV cache of another engine. The
// answer is a kvHeader as one JSON line, followed by the digests in little-endian order.
const PathExportKV = "/v1/kv/export"

// digestBytes is the encoded size of a KV digest.
const digestBytes = 8

// chunkDigests is the number of KV digests sent or read between two waits for the rate limit.
const chunkDigests = 64

// kvHeader identifies a KV cache: the wanted one in a request, and the one that follows
// in an answer.
type kvHeader struct {
	Upstream  fleet.UpstreamID `json:"upstream"`
	Session   string           `json:"session"`
	Model     fleet.ModelID    `json:"model"`
	Version   string           `json:"version"`
	Layers    fleet.LayerRange `json:"layers"`
	Positions int              `json:"positions"`
}

// expectedHeader returns the header that the answer of the source must have.
func expectedHeader(source upstream.KVSource) kvHeader {
	return kvHeader{
		Upstream: source.Upstream, Session: source.Session, Model: source.Model,
		Version: source.Version, Layers: source.Layers, Positions: source.Positions,
	}
}

// serveExport sends the first positions of a session's KV cache at EngineConfig.KVRate.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var wanted kvHeader
	if !readJSON(w, r, &wanted) {
		return
	}
	start := time.Now()
	header, digests, err := e.lookupKV(wanted)
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
		if e.waitForKVRate(r.Context(), start, sent) != nil {
			panic(http.ErrAbortHandler)
		}
		_ = binary.Write(w, binary.LittleEndian, chunk)
		_ = flush()
	}
}

// lookupKV returns the wanted positions of a KV cache. The returned header describes the
// cache of this engine; the requesting engine compares it with the wanted one.
func (e *Engine) lookupKV(wanted kvHeader) (kvHeader, []uint64, error) {
	session := e.sessionInAnswer(wanted.Session)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[wanted.Session]
	if s == nil || wanted.Positions < 1 || e.positions(s) < wanted.Positions || e.loading {
		return kvHeader{}, nil, newRefusal(upstream.RefusedPosition, "session %s has no KV cache of %d positions", wanted.Session, wanted.Positions)
	}
	a := e.assignment
	header := kvHeader{
		Upstream: fleet.UpstreamID(e.id), Session: session, Model: a.Model,
		Version: a.Version, Layers: a.Layers, Positions: wanted.Positions,
	}
	return header, slices.Clone(s.kv[:wanted.Positions*a.Layers.Len()]), nil
}

// importFrom fetches a KV cache from its source and replaces the session's cache with it.
// It checks the request again after the transfer, during which an attempt may start.
func (e *Engine) importFrom(ctx context.Context, source upstream.KVSource) (upstream.SessionProgress, error) {
	if err := e.checkImport(source); err != nil {
		return upstream.SessionProgress{}, err
	}
	digests, err := e.fetchKV(ctx, source)
	if err != nil {
		return upstream.SessionProgress{}, err
	}
	answerSession := e.sessionInAnswer(source.Session)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkImportLocked(source); err != nil {
		return upstream.SessionProgress{}, err
	}
	s := e.session(source.Session)
	s.interrupt()
	s.kv = digests
	return upstream.SessionProgress{Session: answerSession, Attempt: s.minAttempt, NextPosition: e.positions(s)}, nil
}

// checkImport returns a refusal if the KV cache belongs to other weights or its attempt
// can no longer start here.
func (e *Engine) checkImport(source upstream.KVSource) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkImportLocked(source)
}

// checkImportLocked is checkImport for callers that hold e.mu.
func (e *Engine) checkImportLocked(source upstream.KVSource) error {
	stage := upstream.StageRef{Upstream: fleet.UpstreamID(e.id), Layers: source.Layers}
	err := e.checkAssignment(forwardRequest{Model: source.Model, Version: source.Version, Chain: []upstream.StageRef{stage}})
	if err != nil {
		return err
	}
	return e.sessions[source.Session].checkNewAttempt(source.Attempt)
}

// fetchKV reads a KV cache from its source. Errors other than the end of ctx name the
// source as the failed stage.
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
		status:      refusal.status,
		message:     fmt.Sprintf("KV cache of %s: %s", source.Upstream, refusal.message),
		failedStage: source.Upstream,
		refusal:     refusal.refusal,
	}
}

// readKV requests the KV cache from the source, checks its header and reads it at
// EngineConfig.KVRate.
func (e *Engine) readKV(ctx context.Context, source upstream.KVSource) ([]uint64, error) {
	start := time.Now()
	wanted := expectedHeader(source)
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
		return nil, newRefusal(upstream.RefusedOther, "got %+v instead of %+v", header, wanted)
	}
	return e.readDigests(ctx, start, body, wanted.Positions*wanted.Layers.Len())
}

// readDigests reads count KV digests and checks that the body ends after them.
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
		if err := e.waitForKVRate(ctx, start, len(digests)); err != nil {
			return nil, err
		}
	}
	if _, err := body.ReadByte(); err != io.EOF {
		return nil, fmt.Errorf("no end after %d digests: %v", count, err)
	}
	return digests, nil
}

// readRefusal returns the error described by an answer with a status other than 200.
func readRefusal(resp *http.Response) error {
	var body upstream.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return err
	}
	return &stageError{status: resp.StatusCode, message: body.Message, refusal: body.Refusal}
}

// waitForKVRate waits until the given number of digests may have been transferred since
// start at EngineConfig.KVRate.
func (e *Engine) waitForKVRate(ctx context.Context, start time.Time, digests int) error {
	seconds := float64(digests*e.config.KVBytes) / e.config.KVRate * e.slowFactor()
	return sleep(ctx, time.Until(start.Add(time.Duration(seconds*float64(time.Second)))))
}

// sessionInAnswer returns the session ID for a KV answer. Faults.SwapEvery replaces every
// n-th one with that of another session.
func (e *Engine) sessionInAnswer(session string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kvAnswers++
	if every := e.faults.SwapEvery; every > 0 && e.kvAnswers%every == 0 {
		return "other-" + session
	}
	return session
}
