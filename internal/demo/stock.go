package demo

import (
	"context"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// runStockClient drives one pipeline with OpenAI's own client library, whole and streamed.
func (d *demo) runStockClient(ctx context.Context) {
	d.printf("\nopenai-go, unchanged\n")
	pipeline := ""
	for _, name := range names(d.set.Pipelines) {
		if p := d.set.Pipelines[name]; d.streams(p) && len(p.Organisations) == 0 {
			pipeline = name
		}
	}
	if pipeline == "" {
		d.printf("     no pipeline for it in this configuration\n")
		return
	}
	c := openai.NewClient(
		option.WithBaseURL("http://"+d.cluster.VMs[0].Callers+"/v1"),
		option.WithAPIKey("demo-key-"+names(d.set.Organisations)[0]),
	)
	params := openai.ChatCompletionNewParams{
		Model:    pipeline,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("What came back today?")},
	}
	whole, err := c.Chat.Completions.New(ctx, params)
	text := ""
	if err == nil && len(whole.Choices) > 0 {
		text = whole.Choices[0].Message.Content
	}
	d.check(err == nil && text != "", "%s: whole answer of %d bytes, error %v", pipeline, len(text), err)
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	streamed := ""
	if len(acc.Choices) > 0 {
		streamed = acc.Choices[0].Message.Content
	}
	d.check(stream.Err() == nil && streamed == text, "%s: the same text streamed: %t, error %v", pipeline, streamed == text, stream.Err())
}
