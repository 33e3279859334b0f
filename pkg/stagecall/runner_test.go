package stagecall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
)

func waiterOf(j *Job, told *int) *waiter {
	n := len(j.Pieces)
	w := &waiter{
		job: j, left: n, unread: n, done: make(chan struct{}), results: make([]dialect.PieceResult, n),
		domains: make([]string, n), inputsRead: func() { *told++ },
	}
	j.owner = w
	return w
}

func TestInputsAreReadOnceAllPiecesAreWorkedOn(t *testing.T) {
	told := 0
	j := job("a", 3, 0, time.Second, 5*time.Second)
	waiterOf(j, &told)
	p := &pool{}
	first, second := j.Pieces[:2], j.Pieces[2:]
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: first}}})
	require.Zero(t, told, "the third piece still waits for a server")
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: second}}})
	require.Equal(t, 1, told)
}

// A piece that is sent again needs its inputs again.
func TestInputsOfAPieceThatFailedAreReadAgain(t *testing.T) {
	told := 0
	j := job("a", 2, 0, time.Second, 5*time.Second)
	waiterOf(j, &told)
	p := &pool{sched: NewScheduler(batch), budget: retry.NewBudget(retryShare, retryReserve)}
	first, second := j.Pieces[0], j.Pieces[1]
	j.Pieces = nil
	failed := &Call{Parts: []CallPart{{Job: j, Pieces: []Piece{first}}}}
	p.inputsRead(failed)
	p.take(j, first, dialect.PieceResult{Reason: dialect.ReasonError}, failed, true, begin)
	require.Len(t, j.Pieces, 1)
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: []Piece{first}}}})
	require.Zero(t, told, "the other piece still waits for a server")
	p.inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: []Piece{second}}}})
	require.Equal(t, 1, told)
}

func TestInputsOfAJobThatHasEndedAreNotToldAsRead(t *testing.T) {
	told := 0
	j := job("a", 1, 0, time.Second, 5*time.Second)
	w := waiterOf(j, &told)
	w.finish()
	(&pool{}).inputsRead(&Call{Parts: []CallPart{{Job: j, Pieces: j.Pieces}}})
	require.Zero(t, told)
}
