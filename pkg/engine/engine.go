// Package engine defines the interface between daisyhatch and backend servers. Each engine protocol is an
// implementation of Client; package engine/openai implements it for OpenAI-compatible servers and plain HTTP services.
package engine

import (
	"context"
	"fmt"
	"time"
)

// Operation is the kind of work that a stage requests from a backend server.
type Operation string

// Operations.
const (
	// Chat generates text with the chat-completions protocol.
	Chat Operation = "chat"
	// Embed encodes text into vectors.
	Embed Operation = "embed"
	// Retrieve looks up documents.
	Retrieve Operation = "retrieve"
	// Rerank sorts documents by relevance.
	Rerank Operation = "rerank"
	// HTTP forwards a call to a plain HTTP service unchanged.
	HTTP Operation = "http"
)

// Target identifies one incarnation of a backend server: one run of its process.
type Target struct {
	Server      string
	Incarnation string
	Pool        string
	// Address is IP:port.
	Address       string
	FailureDomain string
	// ChecksFence is true when the server rejects orders with an outdated fencing number.
	ChecksFence  bool
	Capabilities []string
	Role         string
	// Version is the version of the server's software; empty when it names none. Versions have no order.
	Version string
}

// Call is one attempt to run a stage on a backend server.
type Call struct {
	// AttemptID is the correlation ID; every response and stream event must carry it.
	AttemptID string
	Operation Operation
	// Method and Path apply to HTTP only; the other operations have fixed paths.
	Method      string
	Path        string
	Model       string
	Adapter     string
	ContentType string
	Body        []byte
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority ranges from 0 to 9; 9 is the most urgent.
	Priority int
	// ResumeFrom is the number of tokens already delivered to the caller; ResumeText is their text.
	ResumeFrom int
	ResumeText string
	// NewConnection sends the call on a new connection instead of an idle one. An idle connection may have been lost
	// without notice, and a call that must not be repeated would detect that only after it was sent.
	NewConnection bool
	// Prefill makes the server process the prompt only and keep its KV cache for ExportKV under AttemptID.
	Prefill bool
	// ProgressTimeout is the longest time without data before the call fails as Silent; 0 uses the client's default.
	ProgressTimeout time.Duration
	// MaxAnswer is the largest accepted response body in bytes; 0 uses the client's default.
	MaxAnswer int64
}

// Answer is the complete response to a Call.
type Answer struct {
	AttemptID   string
	Status      int
	ContentType string
	Body        []byte
	// Usage is the token usage reported by the server; zero if it reports none.
	Usage Usage
	// FirstByte is the time from the start of the call to the first byte of the response; 0 if none arrived.
	FirstByte time.Duration
}

// Usage is the token usage of one call.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Event is one event of a stream.
type Event struct {
	AttemptID string
	// Index is the position of the token in the complete output, starting at 0.
	Index int
	Text  string
	// FinishReason is set on the last token event, with the values of the chat-completions protocol.
	FinishReason string
	Usage        Usage
	// End marks the explicit end of the stream; no event follows.
	End bool
}

// Stream iterates over the events of one streaming call.
type Stream interface {
	// Next blocks until the next event. After the event with End set it returns io.EOF. If the stream stops before
	// that event, it returns an *Error of kind Truncated.
	Next(ctx context.Context) (Event, error)
	// Close aborts the stream if it has not ended and releases its connection.
	Close() error
}

// Load is the load that a backend server reports.
type Load struct {
	// Age is the time since the report was measured.
	Age time.Duration
	// Running, Queued and Capacity count calls.
	Running  int
	Queued   int
	Capacity int
	// Cold is true while the server warms up.
	Cold bool
}

// CacheEvent lists prompt-prefix blocks that were added to or removed from a server's cache.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation; a gap means that events were lost.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
	// Cleared means that the whole cache was emptied.
	Cleared bool
}

// CapabilityKV is announced by servers that support Call.Prefill and can export and import the resulting KV cache.
const CapabilityKV = "kv"

// Roles of servers in a pool with disaggregated prefill: some process prompts, others generate tokens.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// CapabilityCacheEvents is announced by servers that publish their prompt-cache events, with blocks identified by the
// hashes that PrefixBlocks computes.
const CapabilityCacheEvents = "cache-events"

// MaxCachePage is the maximum decompressed size in bytes of one response with cache events. A larger response is an
// error of kind Failed.
const MaxCachePage = 64 << 10

// CachePage is the result of one CacheEvents call.
type CachePage struct {
	// Events are in the order in which the server sent them.
	Events []CacheEvent
	// Bytes is the size of the response body as transmitted, before decompression.
	Bytes int
}

// Order tells a server to change what it serves, such as its role, model or adapter.
type Order struct {
	ID    string
	Kind  string
	Value string
	// Fence is the fencing number; servers that check it reject one lower than the highest they have seen.
	Fence uint64
}

// OrderState is the current value that a server reports for one kind of order.
type OrderState struct {
	Kind  string
	Value string
	Fence uint64
}

// Client communicates with backend servers over one engine protocol. All errors are of type *Error.
type Client interface {
	// Call runs a call and returns its complete response.
	Call(ctx context.Context, t Target, c Call) (Answer, error)
	// Stream starts a streaming call.
	Stream(ctx context.Context, t Target, c Call) (Stream, error)
	// Cancel stops an attempt on the server. Cancelling an unknown or finished attempt is not an error.
	Cancel(ctx context.Context, t Target, attemptID string) error
	// Load fetches the server's load report.
	Load(ctx context.Context, t Target) (Load, error)
	// CacheEvents fetches the events with a sequence number above after: the newest limit ones, within MaxCachePage
	// bytes.
	CacheEvents(ctx context.Context, t Target, after uint64, limit int) (CachePage, error)
	// Order sends an order and returns the resulting state. It fails as Stale when the server rejects the fencing
	// number.
	Order(ctx context.Context, t Target, o Order) (OrderState, error)
	// ReadOrder fetches the current state for one kind of order.
	ReadOrder(ctx context.Context, t Target, kind string) (OrderState, error)
	// ExportKV returns a handle to the KV cache of a finished prefill, to pass to ImportKV on another server.
	ExportKV(ctx context.Context, t Target, attemptID string) ([]byte, error)
	// ImportKV loads the KV cache that the handle in data refers to.
	ImportKV(ctx context.Context, t Target, attemptID string, data []byte) error
	// Probe checks over a new connection that the server is alive. It fails as Refused when nothing listens at the
	// address, as Crashed when another incarnation responds, and as Silent when no response arrives in time.
	Probe(ctx context.Context, t Target) error
}

// Kind classifies an engine error by how the executor handles it.
type Kind int

// Kinds of engine error.
const (
	// Refused means that the call certainly did not run: no byte of it was sent, or no connection was made.
	Refused Kind = iota + 1
	// Overloaded means that the server answered that it is too busy (429 or 503). Whether it started the call is not known.
	Overloaded
	// Crashed means that the connection broke after the call may have been sent, or that another incarnation of the
	// server responded.
	Crashed
	// Silent means that no data arrived within the progress timeout.
	Silent
	// Truncated means that a stream or body ended early.
	Truncated
	// WrongAttempt means that a response does not belong to the attempt: it carried another attempt or completion ID,
	// lacked an ID that the server must send, or resumed at a position after the requested one. Its text is "crossed".
	WrongAttempt
	// Failed means that the server returned a 5xx error or a malformed response.
	Failed
	// Rejected means that the server rejected the request as invalid (3xx or 4xx).
	Rejected
	// Stale means that the server rejected an order because of its fencing number (409).
	Stale
	// Canceled means that the caller's context was cancelled.
	Canceled
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	names := [...]string{"", "refused", "overloaded", "crashed", "silent", "truncated", "crossed", "failed", "rejected", "stale", "canceled"}
	if k < Refused || int(k) >= len(names) {
		return fmt.Sprintf("kind(%d)", int(k))
	}
	return names[k]
}

// Error is a failed call to a backend server.
type Error struct {
	Kind   Kind
	Server string
	// Sent is true when any byte of the call may have been sent. It is false only when certainly none was.
	Sent bool
	// Status and Body are the server's HTTP status and the start of its response body, for error statuses.
	Status int
	Body   []byte
	// RetryAfter is the delay that the server asked for; 0 if none.
	RetryAfter time.Duration
	// Alive is true when a probe over a new connection succeeded after the error, so the connection failed and not
	// the server.
	Alive bool
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("engine: server %s: %s (sent %t): %v", e.Server, e.Kind, e.Sent, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
