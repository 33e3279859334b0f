package replica

import "github.com/VictoriaMetrics/metrics"

var (
	proposals       = metrics.NewCounter("daisyhatch_consensus_proposals_total")
	batchSize       = metrics.NewHistogram("daisyhatch_consensus_batch_proposals")
	syncSeconds     = metrics.NewHistogram("daisyhatch_consensus_sync_duration_seconds")
	leaderChanges   = metrics.NewCounter("daisyhatch_consensus_leader_changes_total")
	storageFailures = metrics.NewCounter("daisyhatch_consensus_storage_failures_total")
	snapshotsTaken  = metrics.NewCounter("daisyhatch_consensus_snapshots_total")

	termGauge    = metrics.NewGauge("daisyhatch_consensus_term", nil)
	commitGauge  = metrics.NewGauge("daisyhatch_consensus_commit_index", nil)
	appliedGauge = metrics.NewGauge("daisyhatch_consensus_applied_index", nil)
	leaderGauge  = metrics.NewGauge("daisyhatch_consensus_is_leader", nil)
)

// gauges shows the node's state. A process runs one node.
func gauges(s Status) {
	termGauge.Set(float64(s.Term))
	commitGauge.Set(float64(s.Commit))
	appliedGauge.Set(float64(s.Applied))
	lead := 0.0
	if s.Leader == s.VM {
		lead = 1
	}
	leaderGauge.Set(lead)
}
