// Command daisyhatch is the operators' client of the daisyhatch serving system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/daisyhatch/daisyhatch/pkg/operator"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return operator.Run(ctx, os.Args[1:], operator.System())
}
