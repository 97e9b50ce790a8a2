package chat

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a chat.completion or chat.completion.chunk object.
type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   fleet.ModelID `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *messageText `json:"message,omitempty"`
	Delta        *messageText `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ErrorBody is the body of an error answer. It has the structure of the OpenAI API,
// with the router's numbered code, outcome and retry time.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to a caller.
type ErrorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    result.Code    `json:"code"`
	Outcome result.Outcome `json:"outcome"`
	// RetryAfterMS is the time after which the caller may retry, in milliseconds; 0
	// when a retry does not help.
	RetryAfterMS int64           `json:"retry_after_ms"`
	Request      fleet.RequestID `json:"request,omitempty"`
}

// NewErrorBody returns the body of an error answer for e.
func NewErrorBody(e *result.Error, request fleet.RequestID) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:      e.Detail,
		Type:         e.Code.Name(),
		Code:         e.Code,
		Outcome:      e.Outcome,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Request:      request,
	}}
}

// WriteCompletion writes a whole answer that is not streamed.
func WriteCompletion(w http.ResponseWriter, id fleet.RequestID, model fleet.ModelID, content, finish string, usage Usage) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(completion{
		ID:      string(id),
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   model,
		Choices: []choice{{Message: &messageText{Role: "assistant", Content: content}, FinishReason: &finish}},
		Usage:   &usage,
	})
}

// Stream writes a streamed answer as server-sent events.
type Stream struct {
	w       io.Writer
	flush   func() error
	id      fleet.RequestID
	model   fleet.ModelID
	created int64
	started bool
}

// NewStream returns a stream that writes to w. Nothing is written before the first
// token, so that a refusal can still set its own HTTP status.
func NewStream(w http.ResponseWriter, id fleet.RequestID, model fleet.ModelID) *Stream {
	return &Stream{w: w, flush: http.NewResponseController(w).Flush, id: id, model: model, created: time.Now().Unix()}
}

// Started reports whether anything has been written.
func (s *Stream) Started() bool { return s.started }

// Delta writes the next part of the answer's text.
func (s *Stream) Delta(content string) error {
	delta := messageText{Content: content}
	if !s.started {
		s.start()
		delta.Role = "assistant"
	}
	return s.writeChunk([]choice{{Delta: &delta}}, nil)
}

// End writes the finish reason, the usage unless it is nil, and the end marker.
func (s *Stream) End(finish string, usage *Usage) error {
	if !s.started {
		s.start()
	}
	if err := s.writeChunk([]choice{{Delta: &messageText{}, FinishReason: &finish}}, nil); err != nil {
		return err
	}
	if usage != nil {
		if err := s.writeChunk([]choice{}, usage); err != nil {
			return err
		}
	}
	return s.writeEvent([]byte("[DONE]"))
}

// Abort writes an error event after an incomplete answer. It writes no end marker, so
// that clients do not treat the stream as complete.
func (s *Stream) Abort(e *result.Error) error {
	body, err := json.Marshal(NewErrorBody(e, s.id))
	if err != nil {
		return fmt.Errorf("encode error event: %w", err)
	}
	return s.writeEvent(body)
}

func (s *Stream) start() {
	s.started = true
	if w, ok := s.w.(http.ResponseWriter); ok {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
	}
}

func (s *Stream) writeChunk(choices []choice, usage *Usage) error {
	body, err := json.Marshal(completion{ID: string(s.id), Object: "chat.completion.chunk", Created: s.created, Model: s.model, Choices: choices, Usage: usage})
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	return s.writeEvent(body)
}

func (s *Stream) writeEvent(data []byte) error {
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return s.flush()
}
