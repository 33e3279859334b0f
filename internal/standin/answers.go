package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Echo   string `json:"echo"`
}

// embeddingSize is the length of the vectors that the encoder returns.
const embeddingSize = 4

// documentCount is how many documents the retriever returns.
const documentCount = 3

type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

type chatBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Options   *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Daisyhatch *openai.Extra `json:"daisyhatch"`
}

// question returns the text of the last message from the user.
func (b chatBody) question() string {
	for i := len(b.Messages) - 1; i >= 0; i-- {
		if b.Messages[i].Role == "user" {
			return fmt.Sprint(b.Messages[i].Content)
		}
	}
	return ""
}

// Token returns token i of the answer to question.
func Token(question string, i int) string {
	return fmt.Sprintf("%04x-%d ", uint16(xxhash.Sum64String(question)), i)
}

// AnswerText returns the whole answer of n tokens to question.
func AnswerText(question string, n int) string {
	var out string
	for i := range n {
		out += Token(question, i)
	}
	return out
}

func (s *Server) chat(c *call) {
	var b chatBody
	if err := json.Unmarshal(c.body, &b); err != nil {
		http.Error(c.w, `{"error":{"message":"not JSON"}}`, http.StatusBadRequest)
		return
	}
	n := s.opts.Tokens
	if b.MaxTokens > 0 {
		n = min(n, b.MaxTokens)
	}
	if c.r.Header.Get(openai.HeaderPrefill) != "" {
		n, b.Stream = 0, false
	}
	if b.Stream {
		c.streamChat(b, n)
		return
	}
	for range n {
		if !c.wait(s.tokenTime()) {
			return
		}
	}
	c.finish("application/json", mustJSON(completion{
		ID:      "cmpl-" + c.answerID(),
		Object:  "chat.completion",
		Model:   b.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: AnswerText(b.question(), n)}, FinishReason: ptr("stop")}},
		Usage:   usage(b, n),
	}))
}

type completion struct {
	ID         string        `json:"id"`
	Object     string        `json:"object"`
	Created    int64         `json:"created"`
	Model      string        `json:"model"`
	Choices    []choice      `json:"choices"`
	Usage      *usageBody    `json:"usage,omitempty"`
	Daisyhatch *openai.Extra `json:"daisyhatch,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usage(b chatBody, n int) *usageBody {
	prompt := 0
	for _, m := range b.Messages {
		prompt += 1 + len(fmt.Sprint(m.Content))/4
	}
	return &usageBody{PromptTokens: prompt, CompletionTokens: n, TotalTokens: prompt + n}
}

// streamChat writes the answer token by token, from the one asked for.
func (c *call) streamChat(b chatBody, n int) {
	from := 0
	if !c.s.opts.Stock {
		from, _ = strconv.Atoi(c.r.Header.Get(openai.HeaderResumeFrom))
		c.w.Header().Set(openai.HeaderResumedFrom, itoa(from))
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.send(b, &delta{Role: "assistant"}, nil, -1)
	for i := from; i < n; i++ {
		if !c.wait(c.s.tokenTime()) {
			return
		}
		if i == n/2 && !c.midStream() {
			return
		}
		c.send(b, &delta{Content: Token(b.question(), i)}, nil, i)
		if c.fault == FaultDuplicate {
			c.send(b, &delta{Content: Token(b.question(), i)}, nil, i)
		}
	}
	if c.fault == FaultLate && !c.wait(lateBy) {
		return
	}
	c.send(b, &delta{}, ptr("stop"), -1)
	if b.Options != nil && b.Options.IncludeUsage {
		c.event(completion{ID: c.streamID(), Object: "chat.completion.chunk", Model: b.Model, Choices: []choice{}, Usage: usage(b, n)})
	}
	_, _ = c.w.Write([]byte("data: [DONE]\n\n"))
	flush(c.w)
	c.done()
}

// midStream applies the faults that come in the middle of a stream. It returns false when the stream ends there.
func (c *call) midStream() bool {
	switch c.fault {
	case FaultTruncate:
		return false
	case FaultCrashMidStream:
		c.s.Crash()
		return false
	case FaultSilentMidStream:
		c.hang()
		return false
	default:
		return true
	}
}

func (c *call) streamID() string {
	return "cmpl-" + c.answerID()
}

func (c *call) send(b chatBody, d *delta, finish *string, index int) {
	v := completion{
		ID:      c.streamID(),
		Object:  "chat.completion.chunk",
		Model:   b.Model,
		Choices: []choice{{Delta: d, FinishReason: finish}},
	}
	if !c.s.opts.Stock {
		v.Daisyhatch = &openai.Extra{Attempt: c.answerID()}
		if index >= 0 {
			v.Daisyhatch.Index = &index
		}
	}
	c.event(v)
}

func (c *call) event(v completion) {
	_, _ = c.w.Write([]byte("data: "))
	_, _ = c.w.Write(mustJSON(v))
	_, _ = c.w.Write([]byte("\n\n"))
	flush(c.w)
}

func embed(c *call) {
	var b struct {
		Model string `json:"model"`
		Input string `json:"input"`
	}
	if err := json.Unmarshal(c.body, &b); err != nil {
		http.Error(c.w, `{"error":{"message":"not JSON"}}`, http.StatusBadRequest)
		return
	}
	h := xxhash.Sum64String(b.Input)
	vector := make([]float64, embeddingSize)
	for i := range vector {
		vector[i] = float64(h>>(16*i)&0xffff) / 65536
	}
	type item struct {
		Object    string    `json:"object"`
		Index     int       `json:"index"`
		Embedding []float64 `json:"embedding"`
	}
	c.finish("application/json", mustJSON(struct {
		Object string `json:"object"`
		Model  string `json:"model"`
		Data   []item `json:"data"`
	}{"list", b.Model, []item{{"embedding", 0, vector}}}))
}

// Document is what the retriever returns and the reranker orders.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// Documents returns what the retriever finds for query.
func Documents(query string) []Document {
	docs := make([]Document, documentCount)
	for i := range docs {
		docs[i] = Document{ID: itoa(i), Text: fmt.Sprintf("document %d on %s", i, query)}
	}
	return docs
}

func retrieve(c *call) {
	var b struct {
		Query string `json:"query"`
	}
	if err := json.Unmarshal(c.body, &b); err != nil {
		http.Error(c.w, `{"error":{"message":"not JSON"}}`, http.StatusBadRequest)
		return
	}
	c.finish("application/json", mustJSON(struct {
		Documents []Document `json:"documents"`
	}{Documents(b.Query)}))
}

// rerank returns the documents in reverse order.
func rerank(c *call) {
	var b struct {
		Documents []json.RawMessage `json:"documents"`
	}
	if err := json.Unmarshal(c.body, &b); err != nil {
		http.Error(c.w, `{"error":{"message":"not JSON"}}`, http.StatusBadRequest)
		return
	}
	type result struct {
		Index int     `json:"index"`
		Score float64 `json:"relevance_score"`
	}
	results := make([]result, 0, len(b.Documents))
	for i := range b.Documents {
		results = append(results, result{len(b.Documents) - 1 - i, 1 / float64(i+1)})
	}
	c.finish("application/json", mustJSON(struct {
		Results []result `json:"results"`
	}{results}))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return b
}

func itoa(i int) string { return strconv.Itoa(i) }

func ptr[T any](v T) *T { return &v }
