// Package bus carries typed messages between the services of one process, over watermill's in-process
// publisher and subscriber. Calls per request and per token go directly between services instead; see
// docs/design/001-kernel-and-bus.md for the cost of both.
package bus

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-logr/logr"
)

// subscriberBuffer is the count of messages that wait for a slow subscriber before publishers block.
const subscriberBuffer = 256

// Bus is an in-process message bus.
type Bus struct {
	pubsub *gochannel.GoChannel
	log    logr.Logger
}

// New returns a Bus.
func New(log logr.Logger) *Bus {
	// Without the wait for the subscriber's acknowledgement, watermill sends each message from a goroutine of its
	// own and messages overtake one another.
	cfg := gochannel.Config{BlockPublishUntilSubscriberAck: true}
	return &Bus{pubsub: gochannel.NewGoChannel(cfg, watermill.NopLogger{}), log: log}
}

// Close ends all subscriptions.
func (b *Bus) Close() error {
	if err := b.pubsub.Close(); err != nil {
		return fmt.Errorf("bus: close: %w", err)
	}
	return nil
}

// Topic is a named stream of messages of type T.
type Topic[T any] struct {
	Name string
}

// Publish sends m to all subscribers of t. Messages of one publisher arrive in order. It waits while a
// subscriber has subscriberBuffer messages to handle.
func Publish[T any](b *Bus, t Topic[T], m T) error {
	payload, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("bus: encode message of topic %s: %w", t.Name, err)
	}
	if err := b.pubsub.Publish(t.Name, message.NewMessage(watermill.NewULID(), payload)); err != nil {
		return fmt.Errorf("bus: publish to topic %s: %w", t.Name, err)
	}
	return nil
}

// Subscribe calls handle for each message of t, one at a time, until ctx ends or the bus closes.
func Subscribe[T any](ctx context.Context, b *Bus, t Topic[T], handle func(T)) error {
	messages, err := b.pubsub.Subscribe(ctx, t.Name)
	if err != nil {
		return fmt.Errorf("bus: subscribe to topic %s: %w", t.Name, err)
	}
	queue := make(chan T, subscriberBuffer)
	go receive(b.log, t, messages, queue)
	go deliver(queue, handle)
	return nil
}

// receive queues messages and acknowledges each once it is queued.
func receive[T any](log logr.Logger, t Topic[T], messages <-chan *message.Message, queue chan<- T) {
	defer close(queue)
	for m := range messages {
		var v T
		if err := json.Unmarshal(m.Payload, &v); err != nil {
			log.Error(err, "message dropped", "topic", t.Name)
		} else {
			queue <- v
		}
		m.Ack()
	}
}

func deliver[T any](queue <-chan T, handle func(T)) {
	for v := range queue {
		handle(v)
	}
}
