// Package dialect defines the interface of the modules that translate between a platform's formats and the system's
// types. Modules only translate; they make no decisions. Each registers itself under a name, and the settings name the
// one to use.
package dialect

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// Errors of this package.
var (
	// ErrUnknown means that no module is registered under the name.
	ErrUnknown = errors.New("dialect: unknown interface")
	// ErrFormat means that a document, header or body can't be parsed.
	ErrFormat = errors.New("dialect: bad format")
)

// Dialect translates between a platform's formats and the system's types. It is safe for concurrent use.
type Dialect interface {
	// Catalog parses and checks a configuration document. Errors: ErrFormat, catalog.ErrInvalid.
	Catalog(document []byte) (*catalog.Set, error)
	// Call parses the header of a caller's request. Errors: ErrFormat.
	Call(h http.Header) (Call, error)
	// RequestHeader returns the header to send to a backend server for an attempt at a request with the caller's header.
	RequestHeader(caller http.Header, a Attempt) http.Header
	// Answer parses the status and header of a server's response.
	Answer(status int, h http.Header) Answer
	// StageCall returns the method, path and body of a stage call that runs pieces.
	StageCall(pieces []Piece) (method, path string, body []byte, err error)
	// StageResults parses the response to StageCall: one result for each piece.
	StageResults(body []byte) ([]PieceResult, error)
	// StageFree returns the call that lets a stage server free the results with these handles.
	StageFree(handles []string) (method, path string, body []byte, err error)
	// StageReport returns the method and path of the call that asks a stage server for its state.
	StageReport() (method, path string)
	// StageRoom parses the free space out of the response to StageReport. Errors: ErrFormat.
	StageRoom(body []byte) (Room, error)
	// EngineReport returns the method and path of the call that asks an engine for its state.
	EngineReport() (method, path string)
	// EngineLoad parses the response to EngineReport. Errors: ErrFormat.
	EngineLoad(body []byte) (EngineLoad, error)
	// TargetHeader returns the header of a call that only the given server accepts: another server that has taken over
	// its address refuses the call. remaining is the time until the deadline.
	TargetHeader(server string, remaining time.Duration) http.Header
	// AddControlRoutes adds the routes for calls of operators and backend servers.
	AddControlRoutes(r chi.Router, c Control)
	// ReadinessPath returns the path at which the platform asks whether the VM is ready for callers.
	ReadinessPath() string
}

// Control handles the calls of operators and backend servers. It returns the errors of package fleet.
type Control interface {
	Publish(ctx context.Context, document []byte) (accepted bool, err error)
	Document(ctx context.Context) (document []byte, version uint64, err error)
	// SetDomain takes a failure domain out of use, or back into use when out is false.
	SetDomain(ctx context.Context, domain string, out bool) error
	Announce(ctx context.Context, s directory.Server) error
	// Rejected logs an announcement of a server that can't be read.
	Rejected(id string, reason error)
	// StartRollout orders that the requests of a service move to a software version within a duration.
	StartRollout(ctx context.Context, service, version string, duration time.Duration) error
	// Rollout returns the latest roll-out of a service.
	Rollout(ctx context.Context, service string) (*daisyhatchv1.Rollout, error)
	// Leave marks the server with the id as gone.
	Leave(ctx context.Context, id string) error
}

// Call is what the header of a caller's request says.
type Call struct {
	// ID identifies the caller's attempt.
	ID string
	// MaxWait is how long the caller waits; 0 when it doesn't say.
	MaxWait time.Duration
	Key     string
	// ResumeAfter is the id of the last event that the caller has received; empty for a stream from the start.
	ResumeAfter string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that ResumeAfter continues; empty
	// when the caller doesn't say.
	Resumes string
	// Prompt is nil for requests without one.
	Prompt *Prompt
	// Pieces is the number of pieces of each stage; a stage without pieces is not run.
	Pieces   []int
	PieceKey string
}

// Prompt describes the input that an engine prefills.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the largest number of tokens to generate.
	Tokens, MaxOutput int
	// OutputHint is the caller's estimate of the number of generated tokens; 0 without one.
	OutputHint int
	// Parts are the prompt's parts in order. The last one belongs to the request or its session alone.
	Parts []Part
}

// SharedParts returns the parts that other prompts may have too: all but the last. It may be called on nil.
func (p *Prompt) SharedParts() []Part {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Part is a section of a prompt that other prompts may share. Prompts share it when the ids are equal.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt describes one transmission of a request to a server.
type Attempt struct {
	// Server is the id of the only server that may run it.
	Server string
	// Remaining is the time until the request's deadline.
	Remaining    time.Duration
	Organisation string
	// Inputs are the handles of the stage results that the request reads.
	Inputs      []string
	ResumeAfter string
	// Priority is the priority given to the engine, from 0 (served first) to 9; a negative value sets none.
	Priority int
}

// Answer is what the status and header of a server's response say.
type Answer struct {
	// CallID identifies the attempt to which the response belongs; empty when the server doesn't say.
	CallID string
	// Signed is true when the response carries the server's signature.
	Signed bool
	// NotRun is true when the server states that it did not run the request.
	NotRun bool
	// Misdirected is true when another server now has the address and refused the request.
	Misdirected bool
	// Encoded is true when the response has a content encoding: something on the way changed the body.
	Encoded bool
	// Load is nil when the server doesn't report it.
	Load *Load
	// Notice says whether the server is shutting down and for how long it wants no calls.
	Notice holdoff.Notice
	// Limit says how many requests the server takes from all VMs together.
	Limit serverlimit.Notice
}

// Load is the load that a server reports: running and waiting requests, and the slots for running ones.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes there now relative to the usual time: 1 as usual, 2 twice as long. 0 if not told.
	Pace float64
}

// Piece is one unit of work of a stage.
type Piece struct {
	Request string
	// Stage is the index of the stage in the route, Index that of the piece in the stage.
	Stage int
	Index int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Key is set for stages that need no results of other stages; Inputs holds the result handles for the others.
	Key    string
	Inputs []string
}

// Reasons why a piece has no result: its deadline passed, an input was no longer kept, the server had no room for the
// result, or the stage failed.
const (
	ReasonLate  = "late"
	ReasonGone  = "gone"
	ReasonRoom  = "room"
	ReasonError = "error"
)

// Room is the space in bytes that is free for results at a stage server. It is a range, since the server rounds it.
type Room struct{ Least, Most int64 }

// EngineLoad is what an engine reports of itself.
type EngineLoad struct {
	// Born identifies the incarnation; 0 if not told.
	Born int64
	// Running and Waiting are the requests of all VMs that it runs and keeps waiting.
	Running, Waiting int
}

// PieceResult is the outcome of one piece: the handle of its result, or the reason why there is none.
type PieceResult struct {
	Handle string
	Reason string
}

var (
	mu      sync.Mutex
	modules = make(map[string]Dialect)
)

// Register adds a module under a name. It panics when the name is taken.
func Register(name string, d Dialect) {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := modules[name]; ok {
		panic("dialect: module registered twice: " + name)
	}
	modules[name] = d
}

// Lookup returns the module that is registered under a name, or ErrUnknown.
func Lookup(name string) (Dialect, error) {
	mu.Lock()
	defer mu.Unlock()
	d, ok := modules[name]
	if !ok {
		return nil, fmt.Errorf("%w %q", ErrUnknown, name)
	}
	return d, nil
}
