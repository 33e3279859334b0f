package executor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// errBadAnswer means that an answer does not have the format of its operation or carries another attempt's ID.
var errBadAnswer = errors.New("executor: malformed or mismatched answer")

// callerInput is what is parsed from the caller's body.
type callerInput struct {
	fields   map[string]json.RawMessage
	messages []json.RawMessage
	query    string
}

// parseCallerInput parses a caller's body. Any bytes are accepted: the whole body is the query unless it has
// messages, "input" or "query".
func parseCallerInput(body []byte) callerInput {
	var in callerInput
	if err := json.Unmarshal(body, &in.fields); err != nil {
		in.fields = nil
		in.query = string(body)
		return in
	}
	if raw, ok := in.fields["messages"]; ok && json.Unmarshal(raw, &in.messages) == nil {
		in.query = lastUserText(in.messages)
		return in
	}
	for _, key := range []string{"input", "query"} {
		if json.Unmarshal(in.fields[key], &in.query) == nil && in.query != "" {
			return in
		}
	}
	in.query = string(body)
	return in
}

// lastUserText returns the text of the last message with role user.
func lastUserText(messages []json.RawMessage) string {
	for i := len(messages) - 1; i >= 0; i-- {
		var m struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		}
		if json.Unmarshal(messages[i], &m) == nil && m.Role == "user" {
			return contentText(m.Content)
		}
	}
	return ""
}

// contentText returns the text of a message's content, which is a string or a list of parts.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	var texts []string
	for _, p := range parts {
		if p.Type == "text" {
			texts = append(texts, p.Text)
		}
	}
	return strings.Join(texts, "\n")
}

// stageOutputs collects the outputs of completed stages that later stages take as input.
type stageOutputs struct {
	embedding json.RawMessage
	documents []json.RawMessage
	texts     []string
}

// add adds the answer of one stage. Answers of one step must be added in the order of its stages.
func (g *stageOutputs) add(op engine.Operation, body []byte) error {
	switch op {
	case engine.Embed:
		return g.addEmbedding(body)
	case engine.Retrieve:
		var v struct {
			Documents []json.RawMessage `json:"documents"`
		}
		if err := json.Unmarshal(body, &v); err != nil {
			return fmt.Errorf("%w: retrieve: %w", errBadAnswer, err)
		}
		g.documents = append(g.documents, v.Documents...)
	case engine.Rerank:
		return g.rerank(body)
	case engine.Chat:
		text, err := chatText(body)
		if err != nil {
			return err
		}
		g.texts = append(g.texts, text)
	default:
	}
	return nil
}

// addEmbedding sets the embedding from the answer of an embed stage.
func (g *stageOutputs) addEmbedding(body []byte) error {
	var v struct {
		Data []struct {
			Embedding json.RawMessage `json:"embedding"`
		} `json:"data"`
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("%w: embed: %w", errBadAnswer, err)
	}
	if len(v.Data) == 0 || len(v.Data[0].Embedding) == 0 {
		return fmt.Errorf("%w: embed: no embedding", errBadAnswer)
	}
	g.embedding = v.Data[0].Embedding
	return nil
}

// rerank replaces the documents by those in the answer, or reorders them by the answer's indexes.
func (g *stageOutputs) rerank(body []byte) error {
	var v struct {
		Documents []json.RawMessage `json:"documents"`
		Results   []struct {
			Index *int `json:"index"`
		} `json:"results"`
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("%w: rerank: %w", errBadAnswer, err)
	}
	if v.Documents != nil {
		g.documents = v.Documents
		return nil
	}
	ordered := make([]json.RawMessage, 0, len(v.Results))
	for _, r := range v.Results {
		if r.Index == nil || *r.Index < 0 || *r.Index >= len(g.documents) {
			return fmt.Errorf("%w: rerank: index out of range", errBadAnswer)
		}
		ordered = append(ordered, g.documents[*r.Index])
	}
	g.documents = ordered
	return nil
}

// chatText returns the message text of a chat completion.
func chatText(body []byte) (string, error) {
	var v struct {
		Choices []struct {
			Message struct {
				Content json.RawMessage `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return "", fmt.Errorf("%w: chat: %w", errBadAnswer, err)
	}
	if len(v.Choices) == 0 {
		return "", fmt.Errorf("%w: chat: no choices", errBadAnswer)
	}
	return contentText(v.Choices[0].Message.Content), nil
}

// checkAnswer checks that an answer has the format of its operation. sent holds the outputs that the stage's request
// was built from.
func checkAnswer(op engine.Operation, sent stageOutputs, body []byte) error {
	switch op {
	case engine.HTTP:
		return nil
	case engine.Rerank:
		g := stageOutputs{documents: sent.documents}
		return g.rerank(body)
	default:
		var g stageOutputs
		return g.add(op, body)
	}
}

type embedBody struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

type searchBody struct {
	Query     string            `json:"query"`
	Embedding json.RawMessage   `json:"embedding,omitempty"`
	Documents []json.RawMessage `json:"documents,omitempty"`
}

// stageBody builds the request body for one stage. The package documentation describes its format.
func stageBody(s PlanStage, caller []byte, in callerInput, g stageOutputs, stream bool) ([]byte, error) {
	var v any
	switch engine.Operation(s.Spec.Operation) {
	case engine.Embed:
		v = embedBody{Model: s.Spec.Model, Input: in.query}
	case engine.Retrieve:
		v = searchBody{Query: in.query, Embedding: g.embedding}
	case engine.Rerank:
		v = searchBody{Query: in.query, Documents: g.documents}
	case engine.Chat:
		return chatBody(s, in, g, stream)
	default:
		return caller, nil
	}
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("executor: build request body of stage %s: %w", s.Spec.Name, err)
	}
	return body, nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody builds a chat request from the caller's body, the stage's model and the outputs of earlier stages.
func chatBody(s PlanStage, in callerInput, g stageOutputs, stream bool) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(in.fields)+3)
	if in.messages != nil {
		for k, v := range in.fields {
			fields[k] = v
		}
	}
	messages := in.messages
	if messages == nil {
		messages = []json.RawMessage{marshalRaw(chatMessage{Role: "user", Content: in.query})}
	}
	if text := contextText(g); text != "" {
		system := marshalRaw(chatMessage{Role: "system", Content: text})
		messages = append([]json.RawMessage{system}, messages...)
	}
	model := s.Spec.Model
	if s.Spec.Adapter != "" {
		model = s.Spec.Adapter
	}
	fields["model"] = marshalRaw(model)
	fields["messages"] = marshalRaw(messages)
	fields["stream"] = marshalRaw(stream)
	delete(fields, "stream_options")
	if stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("executor: build request body of stage %s: %w", s.Spec.Name, err)
	}
	return body, nil
}

// contextText returns the text of the system message that carries the outputs of earlier stages.
func contextText(g stageOutputs) string {
	var b strings.Builder
	for i, d := range g.documents {
		fmt.Fprintf(&b, "[%d] %s\n", i+1, documentText(d))
	}
	for _, t := range g.texts {
		b.WriteString(t)
		b.WriteByte('\n')
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// documentText returns a document's text: the string itself, the object's "text", or else the raw JSON.
func documentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var d struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &d) == nil && d.Text != "" {
		return d.Text
	}
	return string(bytes.TrimSpace(raw))
}

// marshalRaw encodes a value whose encoding cannot fail, such as strings, booleans and lists of raw values.
func marshalRaw(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}

// joinAnswers builds the answer of a last step with several stages.
func joinAnswers(names []string, bodies [][]byte) []byte {
	stages := make(map[string]json.RawMessage, len(names))
	for i, n := range names {
		if json.Valid(bodies[i]) {
			stages[n] = bodies[i]
		} else {
			stages[n] = marshalRaw(string(bodies[i]))
		}
	}
	return marshalRaw(struct {
		Stages map[string]json.RawMessage `json:"stages"`
	}{stages})
}
