// Package where is what an entry VM answers to the question where a request would go.
package where

// Answer tells where a request would go now from one VM, or why it would be refused. Nothing is sent, counted or remembered.
type Answer struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	// ConfigurationVersion and StateAgeMs are the version in force here, and the time since a control VM confirmed the state.
	ConfigurationVersion uint64   `json:"configuration_version"`
	StateAgeMs           int64    `json:"state_age_ms"`
	Route                string   `json:"route,omitempty"`
	Service              string   `json:"service,omitempty"`
	Stages               []string `json:"stages,omitempty"`
	Organisation         string   `json:"organisation,omitempty"`
	Priority             int      `json:"priority"`
	DeadlineMs           int64    `json:"deadline_ms,omitempty"`
	TargetMs             int64    `json:"target_ms,omitempty"`
	// Server is the server that the request would be sent to first; empty if Reason says why there is none.
	Server string `json:"server,omitempty"`
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason,omitempty"`
	// RetryAfterMs is the least time to return that a refusal would name.
	RetryAfterMs int64       `json:"retry_after_ms,omitempty"`
	Candidates   []Candidate `json:"candidates"`
}

// Candidate is a server of the request's service. Those that may be used come first, best first.
type Candidate struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failure_domain"`
	// Passed says why the server is passed over; empty if it may be used.
	Passed string `json:"passed,omitempty"`
	Cold   bool   `json:"cold,omitempty"`
	// HeardMs is the age of the server's latest announcement, AnsweredMs that of its latest answer to this VM; -1 for none.
	HeardMs    int64 `json:"heard_ms"`
	AnsweredMs int64 `json:"answered_ms"`
	// InFlight is the number of this VM's requests that a server without an engine has.
	InFlight int `json:"in_flight"`
	// Slowness is the time to the first byte against the service's average, Failures the decayed count of recent failures.
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	// LimitShare and LimitSent are this VM's share of a limit that the server named, and what it used of that; 0 without one.
	LimitShare int `json:"limit_share,omitempty"`
	LimitSent  int `json:"limit_sent,omitempty"`
}
