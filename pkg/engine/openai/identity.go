package openai

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/answerhead"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// CapabilityIncarnation is announced by servers that send their incarnation in every response, including that of the
// health check. The client asks such a server for its incarnation on each new connection before it sends a call.
const CapabilityIncarnation = "incarnation"

var (
	// errWrongIncarnation means that the server now has another incarnation than the call's target.
	errWrongIncarnation = errors.New("openai: server has another incarnation")
	// errNotReusable means that the server closes the connection after the health check, so no call can follow on it.
	errNotReusable = errors.New("openai: server closes the connection after one response")
)

type identifyKey struct{}

// withIdentify makes trackedDial ask for the server's incarnation on a new connection, if the server reports it.
func withIdentify(ctx context.Context, t engine.Target) context.Context {
	if !reportsIncarnation(t) {
		return ctx
	}
	return context.WithValue(ctx, identifyKey{}, true)
}

func reportsIncarnation(t engine.Target) bool {
	return t.Incarnation != "" && slices.Contains(t.Capabilities, CapabilityIncarnation)
}

// identify makes a health check on a new connection and returns the server's incarnation.
func identify(ctx context.Context, conn net.Conn, address string) (string, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return "", fmt.Errorf("openai: identify: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathHealth, nil)
	if err != nil {
		return "", fmt.Errorf("openai: identify: %w", err)
	}
	if err := req.Write(conn); err != nil {
		return "", fmt.Errorf("openai: identify: %w", err)
	}
	resp, err := answerhead.Read(bufio.NewReader(conn), req)
	if err != nil {
		return "", fmt.Errorf("openai: identify: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", fmt.Errorf("openai: identify: %w", err)
	}
	if resp.Close {
		return "", errNotReusable
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", fmt.Errorf("openai: identify: %w", err)
	}
	return resp.Header.Get(HeaderIncarnation), nil
}
