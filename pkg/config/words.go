package config

// Values of a failure domain's key state.
const (
	KeyState = "state"
	StateIn  = "in"
	StateOut = "out"
)

// Operations of a stage; they match those of package engine.
const (
	OperationChat     = "chat"
	OperationEmbed    = "embed"
	OperationRetrieve = "retrieve"
	OperationRerank   = "rerank"
	OperationHTTP     = "http"
)
