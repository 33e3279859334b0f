// Package standin is a backend server for demos and tests: an engine, an encoder, a retriever, a reranker and a plain
// service in one, with settable speed, cold start and faults. Its answers are functions of the request alone,
// so that a test can tell whose answer it holds.
package standin

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// Options describe a Server. Zero values mean: no delay, no limit, warm.
type Options struct {
	Name          string
	Pool          string
	FailureDomain string
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
	Models  []string
	// Adapters are the adapters that the server has loaded.
	Adapters []string
	Role     string
	Version  string
	// ChecksFence makes the server refuse orders with an old fencing number.
	ChecksFence bool
	// Stock turns off all that daisyhatch adds to the protocol: the answers carry no attempt ID, and
	// streams aren't resumed.
	Stock bool
	// FirstToken is the time to the first byte of an answer; TokenTime is the time between tokens.
	FirstToken time.Duration
	TokenTime  time.Duration
	// Tokens is the length of a generated answer, when the request does not cap it lower (max_tokens).
	Tokens int
	// Capacity is how many calls run at once; more wait in a queue. 0 means no limit.
	Capacity int
	// MaxQueue is how many calls wait before more are refused with status 503; 0 means no limit.
	MaxQueue int
	// ColdCalls is the count of calls after a start for which the server is cold: it takes ColdFactor times
	// as long, and falls over when more than ColdCapacity calls run at once.
	ColdCalls    int
	ColdFactor   float64
	ColdCapacity int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheGap drops each n-th cache event; 0 drops none.
	CacheGap int
	// CacheBlocks is the count of prefix blocks that fit in the cache.
	CacheBlocks int
	// Interference is how much longer a token takes for each prompt that runs meanwhile, as a factor: 1 doubles it.
	Interference float64
	// BlockTime is what each prefix block that isn't cached adds to the time to the first byte.
	BlockTime time.Duration
	// Listen takes the address; nil listens on TCP.
	Listen func(address string) (net.Listener, error)
}

// defaultTokens is the length of an answer when Options don't set it.
const defaultTokens = 16

// Server is one stand-in backend server.
type Server struct {
	opts Options

	mu          sync.Mutex
	listener    net.Listener
	http        *http.Server
	address     string
	incarnation int
	down        chan struct{}
	fault       Fault
	faultCalls  int
	poison      []string
	crashes     int
	falls       int
	running     int
	queued      int
	most        int
	started     int
	bearsUntil  time.Time
	records     []Record
	cancels     map[string]context.CancelFunc
	cancelled   []string
	loads       []loadSample
	cache       prefixCache
	// prompts counts the prompts that run.
	prompts int
	orders  map[string]openai.OrderBody
	kv      map[string][]byte
}

// Record tells of one call that the server began to run.
type Record struct {
	// At is when the call began to run.
	At      time.Time
	Attempt string
	Path    string
	Body    string
	// Finished is true when the whole answer was written.
	Finished bool
}

// New returns a Server that is not started yet.
func New(o Options) *Server {
	if o.Tokens <= 0 {
		o.Tokens = defaultTokens
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return &Server{
		opts:    o,
		cancels: make(map[string]context.CancelFunc),
		orders:  make(map[string]openai.OrderBody),
		kv:      make(map[string][]byte),
	}
}

// Start listens and serves. After a crash it starts the next incarnation on the same address.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return errors.New("standin: already started")
	}
	address := s.address
	if address == "" {
		address = s.opts.Address
	}
	l, err := s.opts.Listen(address)
	if err != nil {
		return fmt.Errorf("standin: listen: %w", err)
	}
	s.listener = l
	s.address = l.Addr().String()
	s.incarnation++
	s.started = 0
	s.note()
	s.down = make(chan struct{})
	s.cache.clear()
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

// Crash ends the server at once, as a dying process does: all connections break.
func (s *Server) Crash() {
	s.mu.Lock()
	h := s.http
	l := s.listener
	s.http = nil
	if h != nil {
		s.crashes++
		close(s.down)
	}
	s.mu.Unlock()
	if h != nil {
		// The HTTP server doesn't know a listener yet that its goroutine has not come to serve.
		_ = l.Close()
		_ = h.Close()
	}
}

// Shutdown stops the server after its calls in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	h := s.http
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return nil
	}
	if err := h.Shutdown(ctx); err != nil {
		return fmt.Errorf("standin: shut down: %w", err)
	}
	return nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Incarnation returns the name of the present incarnation.
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationName()
}

func (s *Server) incarnationName() string {
	return s.opts.Name + "/" + strconv.Itoa(s.incarnation)
}

// Running reports whether the server is up.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil
}

// Crashes returns how often the server crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Chill makes the running server cold again, without a word to anybody. For a time it bears what was meant for a
// warm one.
func (s *Server) Chill(bears time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = 0
	s.bearsUntil = time.Now().Add(bears)
	s.note()
}

// Falls returns how often the server fell over because it got too much while cold.
func (s *Server) Falls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falls
}

// Records returns the calls that the server began to run, in order.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Cancelled returns the attempts that clients cancelled while they ran.
func (s *Server) Cancelled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.cancelled...)
}

// MostRunning returns the most calls that ran at once.
func (s *Server) MostRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.identify)
	r.Get(openai.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get(PathRecords, s.serveRecords)
	r.Get(openai.PathLoad, s.serveLoad)
	r.With(middleware.Compress(gzip.DefaultCompression, "application/json")).Get(openai.PathCache, s.serveCache)
	r.Get(openai.PathOrders, s.serveReadOrder)
	r.Post(openai.PathOrders, s.serveOrder)
	r.Post(openai.PathCancel, s.serveCancel)
	r.Get(openai.PathKV+"/{attempt}", s.serveExport)
	r.Put(openai.PathKV+"/{attempt}", s.serveImport)
	r.Post(openai.PathChat, s.stage(s.chat))
	r.Post(openai.PathEmbed, s.stage(embed))
	r.Post(openai.PathRetrieve, s.stage(retrieve))
	r.Post(openai.PathRerank, s.stage(rerank))
	r.HandleFunc("/*", s.stage(s.service))
	return r
}

// identify puts the incarnation on every answer.
func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.opts.Stock {
			w.Header().Set(openai.HeaderIncarnation, s.Incarnation())
		}
		next.ServeHTTP(w, r)
	})
}
