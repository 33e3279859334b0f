// Package burn measures service-level burn: how fast requests that miss their objective use up the error budget,
// by pipeline and organisation over several windows, and what stages cost and waste. Entry VMs count with a
// Recorder; control VMs add the counts of their heartbeats up with an Aggregator; reports combine all control VMs.
//
// Memory is bounded whatever the number of organisations: those with the most failed and then the most requests
// have series of their own, all others share one series for each pipeline, under the organisation Rest. The sum of
// a pipeline is exact, but for a batch that was resent to another control VM after its answer was lost, which
// counts twice.
package burn

import "time"

// Rest stands in place of the organisations that have no series of their own.
const Rest = ""

// Lengths of slots and of what is kept.
const (
	// FineSlot is the slot of the last six hours.
	FineSlot  = time.Minute
	fineSlots = 6 * 60
	// CoarseSlot is the slot of the last three days.
	CoarseSlot  = 30 * time.Minute
	coarseSlots = 3 * 24 * 2
	// CostSlot is the slot of the stages' costs, of the last three days.
	CostSlot  = 6 * time.Hour
	costSlots = 3 * 4
)

// slotOf returns the number of the slot in which t lies.
func slotOf(t time.Time, slot time.Duration) int64 {
	return t.Unix() / int64(slot/time.Second)
}

// slotStart returns the Unix second at which a slot starts.
func slotStart(number int64, slot time.Duration) int64 {
	return number * int64(slot/time.Second)
}
