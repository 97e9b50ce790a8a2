// Package upstream defines the interfaces to upstreams (model engines and
// plain services) and their HTTP clients.
package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Error is a failed call to an upstream.
type Error struct {
	Upstream fleet.UpstreamID
	// Sent is false only when it is certain that the upstream did not run the
	// request: no connection was made, or the upstream refused the request with a
	// status that guarantees this.
	Sent bool
	// Status is the HTTP status of the answer, 0 when there was none.
	Status int
	// FailedStage is the chain stage or the source of a KV cache that failed, if
	// the called engine reported it.
	FailedStage fleet.UpstreamID
	Err         error
}

// Error formats the upstream, the status, whether the request was sent, and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: status %d, sent %t: %v", e.Upstream, e.Status, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Role states whether an engine serves a model.
type Role string

// The roles of an engine.
const (
	RoleIdle  Role = "idle"
	RoleServe Role = "serve"
)

// Assignment is the role of an engine and the weights that it must hold or holds.
type Assignment struct {
	Role     Role             `json:"role"`
	Model    fleet.ModelID    `json:"model"`
	Version  string           `json:"version"`
	Layers   fleet.LayerRange `json:"layers"`
	Adapters []string         `json:"adapters,omitempty"`
}

// EngineState is an engine's report about itself. It may be out of date.
type EngineState struct {
	Upstream   fleet.UpstreamID `json:"upstream"`
	Assignment Assignment       `json:"assignment"`
	// Loading is set while the engine loads the weights of its assignment.
	Loading bool `json:"loading"`
	// Epoch is the highest epoch of the orders that the engine accepted.
	Epoch uint64 `json:"epoch"`
	// Leaving is set when the upstream announces a planned stop.
	Leaving bool `json:"leaving"`
	// Running is the number of generations in the batch.
	Running int `json:"running"`
	// Waiting is the number of generations in the engine's queue.
	Waiting int `json:"waiting"`
	// Slots is the largest number of generations in the batch.
	Slots int `json:"slots"`
	// Incarnation changes when the engine restarts and thereby loses its KV caches.
	Incarnation string    `json:"incarnation"`
	ReportedAt  time.Time `json:"reported_at"`
}

// StageRef identifies one stage of a chain.
type StageRef struct {
	Upstream fleet.UpstreamID `json:"upstream"`
	// Address is the address at which the preceding stage reaches this one, as IP:port.
	Address string `json:"address"`
	// Layers must equal the engine's assigned range, otherwise the engine refuses the request.
	Layers fleet.LayerRange `json:"layers"`
	// Start is the first position that the stage runs in the attempt. The stage
	// keeps the session's KV cache of the earlier positions and drops activations
	// for them. 0 means an empty cache. Start never decreases along the chain,
	// because a stage needs the activations of the preceding stage.
	Start int `json:"start"`
}

// GenerateRequest opens an attempt of a session on the head stage.
type GenerateRequest struct {
	Session string `json:"session"`
	// Attempt counts from 1. A stage refuses an attempt lower than the highest one
	// that it received for the session.
	Attempt int           `json:"attempt"`
	Model   fleet.ModelID `json:"model"`
	Version string        `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	Chain   []StageRef    `json:"chain"`
	// Tokens are the prompt tokens and the generated tokens that the caller already has.
	Tokens []fleet.Token `json:"tokens"`
	// PromptLen is the number of prompt tokens at the start of Tokens.
	PromptLen int `json:"prompt_len"`
	// MaxTokens limits the generated tokens of the whole session, over all attempts.
	MaxTokens int        `json:"max_tokens"`
	Rank      fleet.Rank `json:"rank"`
}

// Receipt states that a stage ran its layers for one position.
type Receipt struct {
	Upstream fleet.UpstreamID `json:"u"`
	Layers   fleet.LayerRange `json:"l"`
}

// TokenEvent is one event of a token stream.
type TokenEvent struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
	// Index counts the generated tokens of the session from 0.
	Index    int         `json:"index"`
	Token    fleet.Token `json:"token"`
	Receipts []Receipt   `json:"receipts,omitempty"`
	// Final marks the event that ends the session. It carries no token, and its
	// Index is the number of generated tokens.
	Final bool `json:"final,omitempty"`
	// FinishReason is "stop" or "length" on the final event.
	FinishReason string `json:"finish_reason,omitempty"`
}

// TokenStream is an open generation.
type TokenStream interface {
	// Next returns the next event. It returns an *Error if the stream fails, also
	// if the engine closes it without a final event.
	Next(ctx context.Context) (TokenEvent, error)
	// Close cancels the generation if it has not ended. It is safe to call twice.
	Close() error
}

// SessionProgress is a stage's report about a session.
type SessionProgress struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
	// NextPosition is the first position that the stage has not run.
	NextPosition int `json:"next_position"`
}

// KVSource identifies a KV cache on another engine. The importing engine refuses a
// cache that differs in any field.
type KVSource struct {
	// Upstream is the engine that holds the cache.
	Upstream fleet.UpstreamID `json:"upstream"`
	// Address is the address of that engine, as IP:port.
	Address string `json:"address"`
	Session string `json:"session"`
	// Attempt is the attempt that the import is for. The import is refused once
	// that attempt has started, so that a late import does not replace the cache of
	// a running attempt.
	Attempt int              `json:"attempt"`
	Model   fleet.ModelID    `json:"model"`
	Version string           `json:"version"`
	Layers  fleet.LayerRange `json:"layers"`
	// Positions is the number of leading positions to transfer.
	Positions int `json:"positions"`
}

// Order tells an engine its whole wanted assignment. It does not depend on the
// engine's current one.
type Order struct {
	// Epoch is the fencing token of the order: the epoch of the lease that its sender holds.
	Epoch  uint64     `json:"epoch"`
	Wanted Assignment `json:"wanted"`
}

// CacheEvent states that an engine added or dropped a prompt prefix in its cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash is the hash of a block of prompt tokens chained with the blocks before it.
	PrefixHash uint64 `json:"prefix_hash"`
	Dropped    bool   `json:"dropped"`
}

// CacheEventBatch is a page of cache events. A gap in the sequence numbers means
// that events are missing.
type CacheEventBatch struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// Engine is a model engine that holds a layer range.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	Progress(ctx context.Context, session string) (SessionProgress, error)
	Cancel(ctx context.Context, session string, attempt int) error
	// ImportFrom makes the engine fetch a KV cache from another engine and returns
	// when the transfer is complete. Error.FailedStage is the source if the source failed.
	ImportFrom(ctx context.Context, source KVSource) error
	Order(ctx context.Context, order Order) error
	CacheEvents(ctx context.Context, after uint64) (CacheEventBatch, error)
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	RequestID fleet.RequestID
	Route     fleet.RouteID
	Team      fleet.TeamID
	// Key is the idempotency key. It may be empty for repeatable calls.
	Key  string
	Body []byte
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	RequestID   fleet.RequestID
	Status      int
	ContentType string
	Body        []byte
}

// Service is one server of a plain service.
type Service interface {
	// Call sends the request once. Implementations never retry.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
}
