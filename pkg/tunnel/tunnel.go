// Package tunnel connects a VM to backend servers through another VM, as a way round a network path that is lost. It passes
// bytes and decides nothing: the VM that sends the request keeps all its limits, and learns what became of the connection as
// if it had made it itself.
package tunnel

import (
	"errors"
	"time"
)

// Errors of Dialer.Dial.
var (
	// ErrRefused means that the other VM found nothing that listens at the server's address.
	ErrRefused = errors.New("tunnel: nothing listens at the server's address")
	// ErrUnreachable means that the other VM could not connect to the server in time.
	ErrUnreachable = errors.New("tunnel: the server can't be reached")
	// ErrNoVM means that no VM takes a tunnel.
	ErrNoVM = errors.New("tunnel: no VM takes a tunnel")
	// ErrBroken means that a tunnel ended otherwise than by the server's orderly close.
	ErrBroken = errors.New("tunnel: broken off")
)

const (
	// maxTunnels is the largest number of tunnels through one VM. Each holds a file descriptor and some 40 KB.
	maxTunnels = 512
	// connectTimeout bounds the other VM's attempt to connect to a server: many round trips within a region.
	connectTimeout = 400 * time.Millisecond
	// firstMessageTimeout bounds the wait for the name of the server.
	firstMessageTimeout = time.Second
	// bufferBytes is the size of the buffer for each direction.
	bufferBytes = 16 << 10
)
