// Package config holds the configuration that operators publish: named objects that refer to one another by
// name. The whole set is parsed from INI text and checked as one; see Parse and Check.
package config

import "time"

// Kind is the kind of a configuration object, the first word of its INI section.
type Kind string

// Kinds of object. A section is written [kind "name"].
const (
	KindRegion        Kind = "region"
	KindFailureDomain Kind = "failure-domain"
	KindModel         Kind = "model"
	KindPool          Kind = "pool"
	KindStage         Kind = "stage"
	KindPipeline      Kind = "pipeline"
	KindService       Kind = "service"
	KindOrganisation  Kind = "organisation"
	KindOperator      Kind = "operator"
)

// Set is one whole configuration. Maps are keyed by object name. A Set is not changed after Parse.
type Set struct {
	Regions        map[string]*Region
	FailureDomains map[string]*FailureDomain
	Models         map[string]*Model
	Pools          map[string]*Pool
	Stages         map[string]*Stage
	Pipelines      map[string]*Pipeline
	Services       map[string]*Service
	Organisations  map[string]*Organisation
	Operators      map[string]*Operator
}

// Region is a group of failure domains near one another.
type Region struct {
	Name string
}

// FailureDomain is a set of VMs that may fail together.
type FailureDomain struct {
	Name   string
	Region string
	// Out is true while operators have taken the domain out of service (key state = in or out).
	Out bool
}

// Model is a model that engines serve.
type Model struct {
	Name string
	// Version is the version that engines should serve; empty means any.
	Version  string
	Adapters []string
}

// PoolKind tells what a pool's servers are.
type PoolKind string

// Kinds of pool.
const (
	PoolEngine    PoolKind = "engine"
	PoolEncoder   PoolKind = "encoder"
	PoolRetriever PoolKind = "retriever"
	PoolReranker  PoolKind = "reranker"
	PoolService   PoolKind = "service"
)

// Pool is a group of like backend servers. Servers announce themselves into it.
type Pool struct {
	Name           string
	Kind           PoolKind
	FailureDomains []string
	Models         []string
	// Replicas is the count of servers that operators expect, for capacity checks.
	Replicas int
	// Concurrency is the most calls that one warm server runs at once (key concurrency).
	Concurrency int
	// ColdConcurrency is the most that one cold server runs at once (key cold-concurrency).
	ColdConcurrency int
	// WarmAfter is the count of good completions after which a cold server counts as warm (key warm-after).
	WarmAfter int
	// ColdFirstToken is the first-token time above which a server counts as cold; 0 turns this off (key cold-first-token).
	ColdFirstToken time.Duration
	// CostPerSecond is the cost of one busy call-second, in the users' unit of account (key cost-per-second).
	CostPerSecond float64
	// ReportsLoad is true when the servers report their load (key reports-load).
	ReportsLoad bool
	// AnnounceKeyHashes are SHA-256 hashes, in hex, of the keys with which servers may announce (key announce-key-hash).
	AnnounceKeyHashes []string
}

// Stage is one step of pipelines.
type Stage struct {
	Name string
	Pool string
	// Operation is chat, embed, retrieve, rerank or http.
	Operation string
	Model     string
	Adapter   string
	// Path is the HTTP path for operation http.
	Path string
	// Repeatable is false when a second run does harm (key repeatable, default yes).
	Repeatable bool
	// Minimum is the least time that the stage needs (key minimum).
	Minimum time.Duration
	// Timeout caps one attempt from the moment it has a place on a server; 0 leaves it to the deadline (key timeout).
	Timeout time.Duration
	// ProgressTimeout is the longest silence before an attempt counts as broken (key progress-timeout).
	ProgressTimeout time.Duration
	// Hedge allows a second attempt when the first is slow; only for repeatable stages (key hedge, default yes).
	Hedge bool
	// MaxBody caps the answer's size in bytes (key max-answer).
	MaxAnswer int64
}

// Pipeline is a sequence of steps, each of one stage or of several that run in parallel.
type Pipeline struct {
	Name string
	// Steps holds the stage names: written "encode, find-a + find-b, generate" (key stages).
	Steps [][]string
	// Deadline is the default and the longest deadline of a request (key deadline).
	Deadline time.Duration
	// Objective is the share of requests that must meet the deadline, such as 0.99 (key objective).
	Objective float64
	// Organisations that may call it; empty means all (key organisations).
	Organisations []string
}

// Service is a plain service that callers reach through the system by its name.
type Service struct {
	Name  string
	Stage string
	// Deadline is the default and the longest deadline of a request (key deadline).
	Deadline  time.Duration
	Objective float64
	// Organisations that may call it; empty means all (key organisations).
	Organisations []string
}

// Organisation is a caller of pipelines and services.
type Organisation struct {
	Name string
	// KeyHashes are SHA-256 hashes, in hex, of its API keys (key key-hash).
	KeyHashes []string
	// Weight is its share under contention, 1 to 1000 (key weight, default 1).
	Weight int
	// Rate is the most requests a second; 0 means no limit (key rate).
	Rate float64
	// Burst is the most requests at once above the rate (key burst).
	Burst int
	// Concurrency is the most requests in flight; 0 means no limit (key concurrency).
	Concurrency int
	// MaxPriority caps the priority that it may ask for, 0 to 9 (key max-priority, default 5).
	MaxPriority int
}

// OperatorRole tells what an operator may do.
type OperatorRole string

// Operator roles.
const (
	// RoleView may read.
	RoleView OperatorRole = "view"
	// RolePublish may read, publish and order.
	RolePublish OperatorRole = "publish"
	// RoleAdmin may also change the control group.
	RoleAdmin OperatorRole = "admin"
)

// Operator is a person or program that drives the system.
type Operator struct {
	Name string
	// KeyHashes are SHA-256 hashes, in hex, of its keys (key key-hash).
	KeyHashes []string
	Role      OperatorRole
}
