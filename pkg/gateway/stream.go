package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// chunk is one event of a streamed chat completion, in the OpenAI format.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chunkUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// eventWriter writes a streamed response as server-sent events. The response header is sent with the first event, so
// that a request that fails before it gets an ordinary error response.
type eventWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	id           string
	model        string
	created      int64
	includeUsage bool
	started      bool
	nextIndex    int
	// timeout limits the time of writing one event, for callers that read slowly.
	timeout time.Duration
}

func newEventWriter(c *callerRequest, model string, includeUsage bool, timeout time.Duration) *eventWriter {
	return &eventWriter{
		w:            c.w,
		rc:           http.NewResponseController(c.w),
		id:           c.id,
		model:        model,
		created:      c.receivedAt.Unix(),
		includeUsage: includeUsage,
		timeout:      timeout,
	}
}

// writeEvent writes one event of the response. It returns an error if a token is missing, repeated or out of order.
func (e *eventWriter) writeEvent(ev engine.Event) error {
	if ev.End {
		return e.writeEnd(ev.Usage)
	}
	if ev.Index != e.nextIndex {
		return fmt.Errorf("gateway: received token %d, expected token %d", ev.Index, e.nextIndex)
	}
	c := chunkChoice{Delta: chunkDelta{Content: ev.Text}}
	if e.nextIndex == 0 {
		c.Delta.Role = "assistant"
	}
	if ev.FinishReason != "" {
		c.FinishReason = &ev.FinishReason
	}
	e.nextIndex++
	return e.writeJSON(e.newChunk([]chunkChoice{c}, nil))
}

// writeEnd writes the token counts, if the caller asked for them, and the final [DONE] event.
func (e *eventWriter) writeEnd(u engine.Usage) error {
	if e.includeUsage {
		cu := &chunkUsage{
			PromptTokens:     u.PromptTokens,
			CompletionTokens: u.CompletionTokens,
			TotalTokens:      u.PromptTokens + u.CompletionTokens,
		}
		if err := e.writeJSON(e.newChunk([]chunkChoice{}, cu)); err != nil {
			return err
		}
	}
	return e.writeData("[DONE]")
}

// writeFailure ends a stream that has started with an error event, without the final [DONE] event.
func (e *eventWriter) writeFailure(err *apierr.Error, requestID string) error {
	return e.writeJSON(newErrorBody(err, requestID))
}

func (e *eventWriter) newChunk(choices []chunkChoice, u *chunkUsage) chunk {
	return chunk{
		ID:      "chatcmpl-" + e.id,
		Object:  "chat.completion.chunk",
		Created: e.created,
		Model:   e.model,
		Choices: choices,
		Usage:   u,
	}
}

func (e *eventWriter) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("gateway: encode event: %w", err)
	}
	return e.writeData(string(b))
}

// writeData writes payload as the data of one event and flushes it. The first call sends the response header.
func (e *eventWriter) writeData(payload string) error {
	if !e.started {
		e.started = true
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set("X-Accel-Buffering", "no")
		e.w.WriteHeader(http.StatusOK)
	}
	if err := e.rc.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return fmt.Errorf("gateway: set write deadline: %w", err)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", payload); err != nil {
		return fmt.Errorf("gateway: write event: %w", err)
	}
	if err := e.rc.Flush(); err != nil {
		return fmt.Errorf("gateway: flush event: %w", err)
	}
	return nil
}

// storedChat holds the fields of a stored chat completion that are needed to replay it as a stream.
type storedChat struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage chunkUsage `json:"usage"`
}

// replay writes the stored response of an earlier run as a single content event, followed by the final events.
func (e *eventWriter) replay(body []byte) error {
	var s storedChat
	if err := json.Unmarshal(body, &s); err != nil || len(s.Choices) == 0 {
		return fmt.Errorf("gateway: stored response is not a chat completion: %w", errors.Join(err, errNoChoices))
	}
	reason := s.Choices[0].FinishReason
	if err := e.writeEvent(engine.Event{Text: s.Choices[0].Message.Content, FinishReason: reason}); err != nil {
		return err
	}
	u := engine.Usage{PromptTokens: s.Usage.PromptTokens, CompletionTokens: s.Usage.CompletionTokens}
	return e.writeEvent(engine.Event{End: true, Usage: u})
}

var errNoChoices = errors.New("response has no choices")
