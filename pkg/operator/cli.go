// Package operator is the operators' command line: it checks configurations, publishes them, takes failure domains
// out and back and shows what the system does. It talks to any control VM.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/daisyhatch/daisyhatch/pkg/version"
)

// cli holds all flags and commands.
type cli struct {
	Server    []string         `help:"Operators' address of a control VM, IP:port; repeat it for fail-over." env:"DAISYHATCH_SERVERS" placeholder:"IP:PORT"`
	KeyFile   string           `help:"File that holds your operator key. The variable DAISYHATCH_KEY holds the key itself." env:"DAISYHATCH_KEY_FILE" type:"path"`
	Output    string           `help:"Output form: ${enum}." enum:"text,json" default:"text" short:"o"`
	Timeout   time.Duration    `help:"Longest time for one call to one control VM." default:"5s"`
	CA        string           `help:"PEM file with the authorities of the control VMs; turns TLS on." name:"ca" env:"DAISYHATCH_CA" type:"path"`
	Cert      string           `help:"PEM file with your client certificate." type:"path"`
	CertKey   string           `help:"PEM file with the key of --cert." type:"path"`
	ShowBuild kong.VersionFlag `help:"Show the version and exit." name:"version"`

	Check      checkCmd      `cmd:"" help:"Check configuration files without publishing them."`
	Publish    publishCmd    `cmd:"" help:"Publish a whole configuration."`
	Show       showCmd       `cmd:"" help:"Show a configuration version."`
	Diff       diffCmd       `cmd:"" help:"Show what differs between configurations."`
	History    historyCmd    `cmd:"" help:"List the accepted versions, newest first."`
	Status     statusCmd     `cmd:"" help:"Show the control group, the VMs and the backend servers."`
	TakeOut    takeOutCmd    `cmd:"" help:"Take a failure domain out of service."`
	BringBack  bringBackCmd  `cmd:"" help:"Bring a failure domain back into service."`
	Report     reportCmd     `cmd:"" help:"Reports."`
	Order      orderCmd      `cmd:"" help:"Orders to model engines."`
	Rollout    rolloutCmd    `cmd:"" help:"Roll-outs of server versions."`
	Control    controlCmd    `cmd:"" help:"The control group."`
	Where      whereCmd      `cmd:"" help:"Show where a request would go now from an entry VM."`
	Explain    explainCmd    `cmd:"" help:"Show what the VMs logged of one request."`
	Version    versionCmd    `cmd:"" help:"Show the version."`
	Completion completionCmd `cmd:"" help:"Print a completion script for a shell."`
}

const description = `Drives a daisyhatch system. Changes are whole configurations: fetch one, edit it, publish it.

Exit codes: 0 done; 1 refused or failed; 2 wrong usage; 3 conflict, another change came first; 4 outcome unknown,
resend with the same change ID; 5 no control VM reached, nothing was changed; 6 the change ID was used before with
other content; 7 accepted, but not yet in force everywhere when the wait ended.`

// session is what commands run with.
type session struct {
	ctx    context.Context
	out    io.Writer
	err    io.Writer
	flags  *cli
	kong   *kong.Kong
	getenv func(string) string
	now    func() time.Time
	// sleep waits between two looks at the system's state.
	sleep func(context.Context, time.Duration) error
}

// Environment is what the command line takes from its process.
type Environment struct {
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
	Now    func() time.Time
	Sleep  func(context.Context, time.Duration) error
}

// System returns the environment of this process.
func System() Environment {
	return Environment{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Now: time.Now, Sleep: sleep}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("operator: wait: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// exited carries an exit code out of kong.
type exited int

// Run runs one command line, without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exited)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	var flags cli
	parser, err := newParser(&flags, env)
	if err != nil {
		fprintf(env.Err, "daisyhatch: %v\n", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fprintf(env.Err, "daisyhatch: %v\n", err)
		var wrong *kong.ParseError
		if errors.As(err, &wrong) {
			fprintf(env.Err, "Run daisyhatch %s --help for the usage.\n", wrong.Context.Command())
		}
		return exitUsage
	}
	s := &session{
		ctx: ctx, out: env.Out, err: env.Err, flags: &flags, kong: parser,
		getenv: env.Getenv, now: env.Now, sleep: env.Sleep,
	}
	return s.finish(parsed.Run(s))
}

func newParser(flags *cli, env Environment) (*kong.Kong, error) {
	parser, err := kong.New(flags,
		kong.Name("daisyhatch"),
		kong.Description(description),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { panic(exited(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}),
		kong.Vars{"version": "daisyhatch " + version.Version},
	)
	if err != nil {
		return nil, fmt.Errorf("operator: command line: %w", err)
	}
	return parser, nil
}

// fprintf writes to the terminal; a terminal that is gone is no error of the command.
func fprintf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

func (s *session) printf(format string, args ...any) { fprintf(s.out, format, args...) }

func (s *session) json() bool { return s.flags.Output == "json" }
