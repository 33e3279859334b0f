// Command demo runs daisyhatch's main job on one machine; see package demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/daisyhatch/daisyhatch/internal/demo"
)

type arguments struct {
	Bin           string `help:"Folder with the programs." default:"bin" type:"path"`
	Configuration string `help:"Configuration to publish." default:"examples/tas-south.ini" type:"path"`
	Keep          bool   `help:"Leave settings, data and logs behind."`
	Latency       bool   `help:"Measure what the system adds to a call instead."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("demo"), kong.Description("Runs a whole system on loopback and checks what it does."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := demo.Options{BinDir: args.Bin, Configuration: args.Configuration, Out: os.Stdout, Keep: args.Keep}
	run := demo.Run
	if args.Latency {
		run = demo.Latency
	}
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
