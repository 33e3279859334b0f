package order

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

func loadModel(id, value string) *daisyhatchv1.OrderCommand {
	return &daisyhatchv1.OrderCommand{
		OrderId: id, Operator: "ada", Pool: "p", Server: "s", Kind: daisyhatchv1.OrderKind_ORDER_KIND_LOAD_MODEL, Value: value,
	}
}

func TestOrderIsRecordedOnceAndReplacesOlderOrder(t *testing.T) {
	b := New()
	first, err := b.Submit(loadModel("1", "m"), 10, 1)
	require.NoError(t, err)
	resent, err := b.Submit(loadModel("1", "m"), 11, 2)
	require.NoError(t, err)
	require.True(t, proto.Equal(first, resent), "a resend gets the original fencing number")
	_, err = b.Submit(loadModel("1", "other"), 12, 3)
	require.ErrorIs(t, err, ErrReused)
	newer, err := b.Submit(loadModel("2", "n"), 13, 4)
	require.NoError(t, err)
	require.Greater(t, newer.GetFence(), first.GetFence())
	require.Len(t, b.All(), 1)
	b, err = Restore(b.Snapshot())
	require.NoError(t, err)
	late, err := b.Submit(loadModel("1", "m"), 14, 5)
	require.NoError(t, err)
	require.EqualValues(t, 13, late.GetEndedIndex(), "a late resend returns the order as ended")
	require.Equal(t, "2", b.All()[0].GetOrderId(), "a late resend doesn't activate a replaced order")
	_, err = b.Submit(&daisyhatchv1.OrderCommand{OrderId: "9", Withdraw: true}, 14, 5)
	require.ErrorIs(t, err, ErrUnknown)
	for range 2 {
		withdrawn, err := b.Submit(&daisyhatchv1.OrderCommand{OrderId: "2", Withdraw: true}, 15, 6)
		require.NoError(t, err)
		require.EqualValues(t, 15, withdrawn.GetEndedIndex())
	}
	require.Empty(t, b.All())
	_, err = b.Submit(loadModel("2", "n"), 16, 7)
	require.NoError(t, err)
	require.Empty(t, b.All(), "a late resend doesn't undo a withdrawal")
}

func TestEndedOrdersAreBounded(t *testing.T) {
	b := New()
	for i := range uint64(MaxEnded + 10) {
		_, err := b.Submit(loadModel(strconv.FormatUint(i, 10), "m"), i+1, 1)
		require.NoError(t, err)
	}
	require.Len(t, b.Snapshot(), MaxEnded+1)
	for i := range uint64(MaxOrders) {
		c := loadModel("standing-"+strconv.FormatUint(i, 10), "m")
		c.Server = c.GetOrderId()
		_, err := b.Submit(c, 5000+i, 1)
		if i+1 < MaxOrders {
			require.NoError(t, err)
		} else {
			require.ErrorIs(t, err, ErrFull)
		}
	}
	restored, err := Restore(b.Snapshot())
	require.NoError(t, err, "a full book can be restored")
	require.Len(t, restored.All(), MaxOrders)
}

func TestResultUnderAnotherFenceIsIgnored(t *testing.T) {
	b := New()
	_, err := b.Submit(loadModel("1", "m"), 10, 1)
	require.NoError(t, err)
	result := &daisyhatchv1.OrderResultCommand{OrderId: "1", Server: "s", Fence: 9, InForce: true}
	o, err := b.Result(result, 2)
	require.NoError(t, err)
	require.Empty(t, o.GetProgress())
	result.Fence = 10
	for range 2 {
		o, err = b.Result(result, 3)
		require.NoError(t, err)
		require.Len(t, o.GetProgress(), 1)
		require.True(t, o.GetProgress()[0].GetInForce())
	}
}
