// Package signals asks for the signals that a daemon obeys while the process initialises, before main runs. Until then any of them ends
// the process, also one that only asks for the settings to be read anew. It imports nothing that takes long to initialise.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Stop receives SIGTERM and SIGINT, Hangup SIGHUP.
var (
	Stop   = notify(2, syscall.SIGTERM, syscall.SIGINT)
	Hangup = notify(1, syscall.SIGHUP)
)

func notify(queued int, s ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, queued)
	signal.Notify(c, s...)
	return c
}
