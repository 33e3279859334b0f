package bus

// ConfigurationInForce tells that a configuration version took effect on this VM.
type ConfigurationInForce struct {
	Version  uint64
	ChangeID string
	Operator string
}

// FailureDomainChanged tells that operators took a failure domain out or brought it back.
type FailureDomainChanged struct {
	FailureDomain string
	Out           bool
	Version       uint64
}

// LeadershipChanged tells which control VM leads.
type LeadershipChanged struct {
	Leader string
	Term   uint64
}

// DrainBegan tells that this VM is shutting down.
type DrainBegan struct {
	VM string
}

// Topics of the process's bus.
var (
	TopicConfiguration = Topic[ConfigurationInForce]{Name: "configuration"}
	TopicFailureDomain = Topic[FailureDomainChanged]{Name: "failure-domain"}
	TopicLeadership    = Topic[LeadershipChanged]{Name: "leadership"}
	TopicDrain         = Topic[DrainBegan]{Name: "drain"}
)
