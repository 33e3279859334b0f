package bodylimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const limit = 1 << 20

func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(SmallBytes-2, SmallBytes+2), rapid.IntRange(limit-2, limit+2)).Draw(t, "size")
		length := int64(-1)
		if rapid.Bool().Draw(t, "length is known") {
			length = int64(size)
		}
		want := bytes.Repeat([]byte("x"), size)
		l, room := New(1), Room{}
		body, err := l.ReadAll(context.Background(), bytes.NewReader(want), length, limit, &room)
		switch {
		case size > limit:
			if !errors.Is(err, ErrTooLarge) {
				t.Fatalf("%d bytes: %v", size, err)
			}
		case err != nil || !bytes.Equal(body, want):
			t.Fatalf("%d of %d bytes: %v", len(body), size, err)
		case (len(l.slots) == 1) != (size > SmallBytes):
			t.Fatalf("%d bytes hold %d slots", size, len(l.slots))
		}
		room.Release()
		room.Release()
		if len(l.slots) != 0 {
			t.Fatal("the slot is not free")
		}
	})
}

// Guards against a refusal of the answer to a HEAD request by the length that it announces.
func TestAnnouncedLengthIsNoBody(t *testing.T) {
	body, err := New(1).ReadAll(t.Context(), bytes.NewReader(nil), 10*limit, limit, &Room{})
	require.NoError(t, err)
	require.Empty(t, body)
}

func TestErrorOfTheSourceIsReturned(t *testing.T) {
	for _, size := range []int{10, SmallBytes + 10} {
		src := io.MultiReader(bytes.NewReader(make([]byte, size)), brokenReader{})
		_, err := New(1).ReadAll(t.Context(), src, -1, limit, &Room{})
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A large answer waits for room and is then read whole; small ones don't wait. Guards against a bound that cuts sound answers.
func TestLargeAnswerWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, held := New(1), Room{}
		require.NoError(t, l.Grow(t.Context(), &held))
		_, err := l.ReadAll(t.Context(), bytes.NewReader(make([]byte, SmallBytes)), -1, limit, &Room{})
		require.NoError(t, err)
		time.AfterFunc(time.Second, held.Release)
		begin, room := time.Now(), Room{}
		body, err := l.ReadAll(t.Context(), bytes.NewReader(make([]byte, limit)), limit, limit, &room)
		require.NoError(t, err)
		require.Len(t, body, limit)
		require.Equal(t, time.Second, time.Since(begin))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.ReadAll(ctx, bytes.NewReader(make([]byte, limit)), limit, limit, &Room{})
		require.ErrorIs(t, err, ErrNoRoom)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
