package oracle

// Promise names what must always hold.
type Promise string

// Promises that the oracle checks.
const (
	// AtMostOnce: a request that is not repeatable runs at most once.
	AtMostOnce Promise = "at-most-once"
	// TrueNotRun: a request said to be not run did not run.
	TrueNotRun Promise = "true-not-run"
	// OwnWholeAnswer: every answer is whole and its caller's own.
	OwnWholeAnswer Promise = "own-whole-answer"
	// DryDomain: a failure domain that was taken out gets no new work.
	DryDomain Promise = "dry-domain"
	// ColdServer: a cold server gets no more than it can bear.
	ColdServer Promise = "cold-server"
	// VersionsGrow: an accepted configuration is one change's alone and never reverts.
	VersionsGrow Promise = "versions-grow"
	// OrderlyStop: a stop in order cuts nothing off.
	OrderlyStop Promise = "orderly-stop"
	// PoisonBounded: one request takes at most two servers down.
	PoisonBounded Promise = "poison-bounded"
	// InnocentServed: no innocent request is refused as one that crashes servers.
	InnocentServed Promise = "innocent-served"
	// Recovery: the system serves again once all faults have ended.
	Recovery Promise = "recovery"
	// Invariant: no invariant asserted inside the program broke.
	Invariant Promise = "invariant"
)

// Promises lists all promises.
func Promises() []Promise {
	return []Promise{
		AtMostOnce, TrueNotRun, OwnWholeAnswer, DryDomain, ColdServer, VersionsGrow, OrderlyStop, PoisonBounded,
		InnocentServed, Recovery, Invariant,
	}
}

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}
