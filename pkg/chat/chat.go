// Package chat implements the chat completions protocol for callers. It decodes
// requests and writes whole and streamed answers. Field names follow the OpenAI API,
// so that existing clients work unchanged.
package chat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Request is a chat completions request. Of the options that the router does not
// implement, those that change the answer's structure are refused (see
// unsupportedOption) and the others are ignored.
type Request struct {
	Model               fleet.ModelID     `json:"model"`
	Messages            []Message         `json:"messages"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	StreamOptions       *StreamOptions    `json:"stream_options"`
	N                   *int              `json:"n"`
	Tools               []json.RawMessage `json:"tools"`
	Logprobs            bool              `json:"logprobs"`
	// Adapter selects an adapter of the model. It is an extension of the OpenAI API.
	Adapter string `json:"adapter"`
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of the conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is a message's text. In JSON it is a string or a list of text parts.
type Content string

// UnmarshalJSON decodes a string or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content: want a string or a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content: part of type %q is not supported", p.Type)
		}
		text += p.Text
	}
	*c = Content(text)
	return nil
}

// Decode parses and checks a request body.
func Decode(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, result.New(result.MalformedBody, result.NotRun, "body: %v", err)
	}
	if r.Model == "" {
		return Request{}, result.New(result.MalformedBody, result.NotRun, "model: missing")
	}
	if len(r.Messages) == 0 {
		return Request{}, result.New(result.MalformedBody, result.NotRun, "messages: want at least one")
	}
	if n := r.maxTokens(); n != nil && *n < 1 {
		return Request{}, result.New(result.MalformedBody, result.NotRun, "max_tokens: want at least 1, got %d", *n)
	}
	if option := r.unsupportedOption(); option != "" {
		return Request{}, result.New(result.UnsupportedOption, result.NotRun, "%s is not supported", option)
	}
	return r, nil
}

// Limit returns the largest number of tokens to generate: the request's own limit, but
// no more than the given one.
func (r Request) Limit(limit int) int {
	if n := r.maxTokens(); n != nil {
		return min(*n, limit)
	}
	return limit
}

// Prompt returns the conversation as the text that the model continues.
func (r Request) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		fmt.Fprintf(&b, "<|%s|>%s\n", m.Role, m.Content)
	}
	b.WriteString("<|assistant|>")
	return b.String()
}

// SharedParts returns the parts of the prompt that other requests may share: all messages but the
// last.
func (r Request) SharedParts() []string {
	var parts []string
	for _, m := range r.Messages[:max(len(r.Messages)-1, 0)] {
		parts = append(parts, m.Role+" "+string(m.Content))
	}
	return parts
}

func (r Request) maxTokens() *int {
	if r.MaxCompletionTokens != nil {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// unsupportedOption returns a set option that would change the answer's structure and
// that the router does not implement, or an empty string.
func (r Request) unsupportedOption() string {
	switch {
	case r.N != nil && *r.N != 1:
		return "n other than 1"
	case len(r.Tools) > 0:
		return "tools"
	case r.Logprobs:
		return "logprobs"
	}
	return ""
}
