package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// Bounds of what the server keeps.
const (
	keptLoads       = 4096
	keptCacheEvents = 4096
	// defaultCacheBlocks is the count of prefix blocks that fit in the cache when Options don't set it.
	defaultCacheBlocks = 512
)

// loadSample is the load at one time.
type loadSample struct {
	at     time.Time
	report openai.LoadReport
}

// note records the present load. The caller holds s.mu.
func (s *Server) note() {
	s.loads = append(s.loads, loadSample{time.Now(), s.load()})
	if len(s.loads) > keptLoads {
		s.loads = slices.Delete(s.loads, 0, keptLoads/2)
	}
}

func (s *Server) load() openai.LoadReport {
	return openai.LoadReport{
		Running:  s.running,
		Queued:   s.queued,
		Capacity: s.opts.Capacity,
		Cold:     s.started < s.opts.ColdCalls,
	}
}

// laggedLoad returns the load as it was one lag ago.
func (s *Server) laggedLoad() openai.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.LoadLag <= 0 {
		return s.load()
	}
	at := time.Now().Add(-s.opts.LoadLag)
	out := openai.LoadReport{Capacity: s.opts.Capacity}
	for _, l := range slices.Backward(s.loads) {
		if !l.at.After(at) {
			out = l.report
			break
		}
	}
	out.AgeMS = s.opts.LoadLag.Milliseconds()
	return out
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.laggedLoad())
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o openai.OrderBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	had := s.orders[o.Kind]
	stale := s.opts.ChecksFence && o.Fence < had.Fence
	if !stale {
		s.orders[o.Kind] = o
	}
	s.mu.Unlock()
	if stale {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, o)
}

func (s *Server) serveReadOrder(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	s.mu.Lock()
	o := s.orders[kind]
	s.mu.Unlock()
	o.Kind = kind
	writeJSON(w, o)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var b openai.CancelBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&b); err != nil {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cancel, ok := s.cancels[b.Attempt]
	if ok {
		s.cancelled = append(s.cancelled, b.Attempt)
		delete(s.cancels, b.Attempt)
	}
	s.mu.Unlock()
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	attempt := chi.URLParam(r, "attempt")
	s.mu.Lock()
	data, ok := s.kv[attempt]
	for _, rec := range s.records {
		if rec.Attempt == attempt && rec.Finished {
			data, ok = []byte(rec.Body), true
		}
	}
	s.mu.Unlock()
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body not whole", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.kv[chi.URLParam(r, "attempt")] = data
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(v))
}
