package cost_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/cost"
)

func TestBookSumsWastedCostSeparately(t *testing.T) {
	b := cost.NewBook()
	a := cost.Account{Pipeline: "p", Organisation: "o", Stage: "s"}
	b.Add(a, cost.Of(2*time.Second, 0.5), false)
	b.Add(a, cost.Of(time.Second, 0.5), true)
	got := b.Take()
	require.Len(t, got, 1)
	require.InDelta(t, 1.5, got[0].GetCost(), 1e-9)
	require.InDelta(t, 0.5, got[0].GetWasted(), 1e-9)
	require.Equal(t, uint64(2), got[0].GetCalls())
	require.Empty(t, b.Take())
	var nilBook *cost.Book
	nilBook.Add(a, 1, false)
}

func TestAccountsAreBoundedAndNothingIsLost(t *testing.T) {
	b := cost.NewBook()
	for i := range cost.MaxAccounts + 1000 {
		b.Add(cost.Account{Pipeline: "p", Organisation: strconv.Itoa(i), Stage: "s"}, 1, false)
	}
	got := b.Take()
	require.Len(t, got, cost.MaxAccounts+1)
	var sum float64
	for _, c := range got {
		sum += c.GetCost()
	}
	require.InDelta(t, cost.MaxAccounts+1000, sum, 1e-6)
}
