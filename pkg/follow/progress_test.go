package follow

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
)

// slowControl answers a watch with one event, ten bytes at a time with pauses of four fifths of silenceTimeout, and then
// sends nothing more.
type slowControl struct{ event *daisyhatchv1.WatchEvent }

func (s slowControl) Do(r *http.Request) (*http.Response, error) {
	data, err := proto.Marshal(s.event)
	if err != nil {
		return nil, err
	}
	// A message of the Connect protocol starts with a byte of flags and its size.
	data = append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data))), data...)
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"application/connect+proto"}},
		Body:       &slowBody{ctx: r.Context(), left: data},
	}, nil
}

type slowBody struct {
	ctx  context.Context
	left []byte
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.left) == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	time.Sleep(silenceTimeout * 4 / 5)
	n := copy(p, b.left[:min(10, len(b.left))])
	b.left = b.left[n:]
	return n, nil
}

func (b *slowBody) Close() error { return nil }

var _ io.ReadCloser = (*slowBody)(nil)

// A configuration that takes far longer than silenceTimeout to arrive is applied, since bytes keep arriving; the silence after
// it ends the watch.
func TestSlowWatchEventIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &daisyhatchv1.WatchEvent{
			Configuration:     &daisyhatchv1.ConfigurationVersion{Version: 3},
			ConfigurationGzip: publication.Compress([]byte("a text that is long enough")),
		}
		c, err := New(Options{
			VM: "e1", ControlAddrs: []string{"192.0.2.1:1"}, HTTP: slowControl{e},
			Parse: func([]byte) (*config.Set, error) { return &config.Set{}, nil },
		})
		require.NoError(t, err)
		err = c.watch(t.Context(), c.clients[0], false)
		require.ErrorIs(t, err, ErrSilent)
		require.Equal(t, "a text that is long enough", string(c.Current().Text))
	})
}
