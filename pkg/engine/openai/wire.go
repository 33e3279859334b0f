package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// extraKey is the JSON key of the Extra object in bodies and chunks.
const extraKey = "daisyhatch"

// Extra is the object that daisyhatch adds to the protocol's bodies and chunks.
type Extra struct {
	// Attempt and Index are set in the chunks of a stream: the attempt ID and the token's position.
	Attempt string `json:"attempt,omitempty"`
	Index   *int   `json:"index,omitempty"`
	// ResumeFrom and ResumeText are set in the body of a call that resumes a stream: the number of tokens that the
	// caller already has and their text.
	ResumeFrom int    `json:"resume_from,omitempty"`
	ResumeText string `json:"resume_text,omitempty"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          *struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *wireUsage) usage() engine.Usage {
	out := engine.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens}
	if u.Details != nil {
		out.CachedTokens = u.Details.CachedTokens
	}
	return out
}

// chunk is one event of a chat-completions stream.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage      *wireUsage      `json:"usage"`
	Error      json.RawMessage `json:"error"`
	Daisyhatch *Extra          `json:"daisyhatch"`
}

// endOfStream is the data of the event that ends a stream.
var endOfStream = []byte("[DONE]")

// decodeChunk decodes the data of one server-sent event. end is true for the end marker.
func decodeChunk(data []byte) (c chunk, end bool, err error) {
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, endOfStream) {
		return chunk{}, true, nil
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, false, fmt.Errorf("decode chunk: %w", err)
	}
	if len(c.Error) > 0 && !bytes.Equal(c.Error, []byte("null")) {
		return chunk{}, false, fmt.Errorf("server reported an error: %.200s", c.Error)
	}
	return c, false, nil
}
