package stagecall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
)

func newWaiter(j *Job, readCount *int) *waiter {
	n := len(j.Pieces)
	w := &waiter{
		job: j, pending: n, unreadPieces: n, done: make(chan struct{}), results: make([]dialect.PieceResult, n),
		domains: make([]string, n), inputsRead: func() { *readCount++ },
	}
	j.waiter = w
	return w
}

func TestInputsAreReadOnceAllPiecesAreWorkedOn(t *testing.T) {
	readCount := 0
	j := job("a", 3, 0, time.Second, 5*time.Second)
	newWaiter(j, &readCount)
	p := &pool{sched: NewScheduler(batch)}
	first, second := j.Pieces[:2], j.Pieces[2:]
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: first}}})
	require.Zero(t, readCount, "the third piece still waits for a server")
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: second}}})
	require.Equal(t, 1, readCount)
}

// A piece that is sent again needs its inputs again.
func TestInputsOfAPieceThatFailedAreReadAgain(t *testing.T) {
	readCount := 0
	j := job("a", 2, 0, time.Second, 5*time.Second)
	newWaiter(j, &readCount)
	p := &pool{sched: NewScheduler(batch), budget: retry.NewBudget(retryShare, retryReserve)}
	first, second := j.Pieces[0], j.Pieces[1]
	j.Pieces = nil
	failed := &Call{Parts: []CallPart{{Job: j, Pieces: []Piece{first}}}}
	p.inputsRead(failed)
	p.handleResult(j, first, dialect.PieceResult{Reason: dialect.ReasonError}, failed, true, epoch)
	require.Len(t, j.Pieces, 1)
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: []Piece{first}}}})
	require.Zero(t, readCount, "the other piece still waits for a server")
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: []Piece{second}}}})
	require.Equal(t, 1, readCount)
}

func TestInputsOfAJobThatHasEndedAreNotToldAsRead(t *testing.T) {
	readCount := 0
	j := job("a", 1, 0, time.Second, 5*time.Second)
	w := newWaiter(j, &readCount)
	w.finish()
	(&pool{sched: NewScheduler(batch)}).inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: j.Pieces}}})
	require.Zero(t, readCount)
}

func TestInputsOfAllPiecesAreGivenUpOnce(t *testing.T) {
	q := &daisyhatchv1.StageRunRequest{Pieces: []*daisyhatchv1.StagePiece{{Inputs: []string{"b", "a"}}, {Inputs: []string{"a", "b"}}}}
	require.Equal(t, []string{"a", "b"}, inputsOf(q))
}

// A job of which a piece failed leaves its inputs to the caller, who may run the stage anew.
func TestJobIsMadeWhenAllPiecesHaveResults(t *testing.T) {
	w := &waiter{results: []dialect.PieceResult{{Handle: "a"}, {Reason: dialect.ReasonRoom}}}
	require.False(t, w.complete())
	w.results[1] = dialect.PieceResult{Handle: "b"}
	require.True(t, w.complete())
}

// A server whose room is scarce is told of results that were given up at once, one with room enough in larger calls.
func TestRoomDecidesHowSoonServersAreTold(t *testing.T) {
	s := NewScheduler(batch)
	require.False(t, s.HasAmpleRoom("s0"), "nothing is known of the server")
	st := s.state("s0")
	s.avgCallBytes = float64(batch.ResultBytes) / 4
	require.True(t, s.HasAmpleRoom("s0"))
	st.reservedBytes = batch.ResultBytes / 2
	require.False(t, s.HasAmpleRoom("s0"), "there is room for one usual call")
	r := NewRunner(Options{})
	r.pools["s"] = &pool{sched: s, serverIDs: map[string]string{"10.0.0.1:1": "s0"}}
	st.reservedBytes = 0
	r.Free([]string{"10.0.0.1:1/a", "10.0.0.1:1/a", "no address"})
	r.flushTimer.Stop()
	r.flush()
	r.flushTimer.Stop()
	require.Len(t, r.pendingFrees["10.0.0.1:1"].handles, 1, "it is kept for a larger call, once")
}

// After a change of owners servers hold results of the former one's calls, and pieces find no room. Their inputs must still
// be there when they are sent again, or all stages before them are run once more.
func TestInputsStayWhileTheServerMayHaveNoRoom(t *testing.T) {
	readCount := 0
	j := job("a", 1, 0, time.Second, 5*time.Second)
	newWaiter(j, &readCount)
	s := NewScheduler(batch)
	p := &pool{sched: s}
	c := &Call{Server: Server{ID: "s0"}, Parts: []CallPart{{Job: j, Pieces: j.Pieces}}}
	s.state("s0").foreignBytes = 1
	p.inputsRead(c)
	require.Zero(t, readCount, "another VM's results are there")
	s.state("s0").foreignBytes = 0
	s.state("s0").markFull(time.Now())
	p.inputsRead(c)
	require.Zero(t, readCount, "it had no room a moment ago")
	require.False(t, c.inputsRead)
	s.state("s0").fullUntil = time.Now().Add(-roomUncertainFor - time.Second)
	p.inputsRead(c)
	require.Equal(t, 1, readCount)
}
