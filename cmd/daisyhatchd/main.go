// Command daisyhatchd is the daemon of the daisyhatch serving system.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/daisyhatch/daisyhatch/internal/signals"
	"github.com/daisyhatch/daisyhatch/pkg/daemon"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/version"
	"github.com/daisyhatch/daisyhatch/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Settings string           `arg:"" help:"INI file with this VM's settings." type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Serves multi-stage model pipelines: one VM's part of the system.

Exit codes: 0 stopped in order, 1 failed or cut requests off while stopping, 2 bad arguments or settings.

Examples:
  daisyhatchd /etc/daisyhatch/vm.ini
  daisyhatchd --check /etc/daisyhatch/vm.ini`

func main() {
	var args arguments
	parser := kong.Must(&args,
		kong.Name("daisyhatchd"),
		kong.Description(description),
		kong.Vars{"version": version.Version},
		kong.Exit(func(code int) { os.Exit(min(code, exitSettings)) }),
	)
	_, err := parser.Parse(withSettings(os.Args[1:], os.Getenv(platform.SettingsVariable)))
	parser.FatalIfErrorf(err)
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println("settings are valid")
		return
	}
	if err := daemon.Run(context.Background(), s, daemon.Signals{Stop: signals.Stop, Hangup: signals.Hangup}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// withSettings adds the file that the platform names when there are no arguments.
func withSettings(args []string, file string) []string {
	if len(args) == 0 && file != "" {
		return []string{file}
	}
	return args
}
