// Package dialect is what the system asks of a module that speaks a platform's formats. A module translates and decides
// nothing. Modules register themselves by name; the settings name the one to use.
package dialect

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

// Errors of this package.
var (
	// ErrUnknown means that no module has the name.
	ErrUnknown = errors.New("dialect: unknown interface")
	// ErrFormat means that what came in can't be read.
	ErrFormat = errors.New("dialect: bad format")
)

// Dialect translates between a platform's formats and the system's types. It is safe for concurrent use.
type Dialect interface {
	// Catalog reads and checks a configuration document. Errors: ErrFormat, catalog.ErrInvalid.
	Catalog(document []byte) (*catalog.Set, error)
	// Call reads the header of a caller's request. Errors: ErrFormat.
	Call(h http.Header) (Call, error)
	// Outgoing returns the header that a backend server gets for a caller's header.
	Outgoing(caller http.Header, a Attempt) http.Header
	// Answer reads the header of a server's answer.
	Answer(status int, h http.Header) Answer
	// StageCall returns the method, path and body of a call that runs pieces.
	StageCall(pieces []Piece) (method, path string, body []byte, err error)
	// StageResults reads the answer to StageCall: one result for each piece.
	StageResults(body []byte) ([]PieceResult, error)
	// StageFree returns the call that gives results up.
	StageFree(handles []string) (method, path string, body []byte, err error)
	// StageReport returns the method and path of the question to a stage server for its state.
	StageReport() (method, path string)
	// StageRoom reads the answer. Errors: ErrFormat.
	StageRoom(body []byte) (Room, error)
	// TargetHeader returns the header of a call to one server, which other servers at its address refuse.
	TargetHeader(server string, remaining time.Duration) http.Header
	// Operators adds the operators' and backend servers' calls.
	Operators(r chi.Router, c Control)
	// ReadinessPath is the path of the platform's question whether the VM takes callers.
	ReadinessPath() string
}

// Control is what operators and backend servers may ask for. Errors are those of package fleet.
type Control interface {
	Publish(ctx context.Context, document []byte) (accepted bool, err error)
	Document(ctx context.Context) (document []byte, version uint64, err error)
	SetDomain(ctx context.Context, domain string, out bool) error
	Announce(ctx context.Context, s directory.Server) error
	Leave(ctx context.Context, id string) error
}

// Call is what a caller says about a request.
type Call struct {
	// ID names the caller's attempt.
	ID string
	// Patience is how long the caller waits; 0 when it doesn't say.
	Patience time.Duration
	Key      string
	// ResumeAfter is the id of the last event that the caller has; empty at the start.
	ResumeAfter string
	// Prompt is nil for requests without one.
	Prompt *Prompt
	// Pieces is the count of pieces of each stage; a stage without pieces is left out.
	Pieces   []int
	PieceKey string
}

// Prompt describes what an engine reads.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the most tokens generated.
	Tokens, MaxOutput int
	// OutputHint is the caller's guess of the generated tokens; 0 without one.
	OutputHint int
	// Parts are the prompt's parts in order; the last one is the request's or its session's own.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt is one send of a request to a server.
type Attempt struct {
	// Server is the id of the server that must run it.
	Server       string
	Remaining    time.Duration
	Organisation string
	// Inputs are the handles of the stages' results.
	Inputs      []string
	ResumeAfter string
	// Urgency is what an engine is told of the request's priority, 0 (first) to 9; negative sets none.
	Urgency int
}

// Answer is what a server says in the header of an answer.
type Answer struct {
	// CallID is the attempt to which the answer belongs; empty when it doesn't say.
	CallID string
	// Signed is true when the server vouches for the answer.
	Signed bool
	// NotRun is true when the server states that it did not run the request.
	NotRun bool
	// Misdirected is true when another server has the address.
	Misdirected bool
	// Encoded is true when the body was changed on the way.
	Encoded bool
	// Load is nil when the server doesn't tell it.
	Load *Load
	// Notice is what the server says of its own time.
	Notice holdoff.Notice
}

// Load is a server's own count.
type Load struct{ Running, Waiting, Slots int }

// Piece is one piece of a stage.
type Piece struct {
	Request   string
	Stage     int
	Index     int
	Remaining time.Duration
	// Key is set for stages that need no other's results, Inputs for others.
	Key    string
	Inputs []string
}

// Reasons why a piece has no result.
const (
	ReasonLate  = "late"
	ReasonGone  = "gone"
	ReasonRoom  = "room"
	ReasonError = "error"
)

// Room is the room in bytes that is free for results at a stage server: a range, since the server rounds it.
type Room struct{ Least, Most int64 }

// PieceResult is the result of one piece: a handle or a reason.
type PieceResult struct {
	Handle string
	Reason string
}

var (
	mu      sync.Mutex
	modules = make(map[string]Dialect)
)

// Register adds a module under a name; it panics when the name is taken.
func Register(name string, d Dialect) {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := modules[name]; ok {
		panic("dialect: module registered twice: " + name)
	}
	modules[name] = d
}

// Lookup returns the module of a name, or ErrUnknown.
func Lookup(name string) (Dialect, error) {
	mu.Lock()
	defer mu.Unlock()
	d, ok := modules[name]
	if !ok {
		return nil, fmt.Errorf("%w %q", ErrUnknown, name)
	}
	return d, nil
}
