package standin

import (
	"encoding/json"
	"net/http"
)

// PathRecords lists the calls that the server began to run, as a JSON array of Record.
const PathRecords = "/standin/records"

func (s *Server) serveRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The client may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(s.Records())
}
