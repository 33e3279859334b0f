// Command standin runs one stand-in backend server for demos and benchmarks. It announces itself each second.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/daisyhatch/daisyhatch/internal/standin"
)

// announceEvery is the time between announcements.
const announceEvery = time.Second

// drainTime bounds the wait for calls in flight at the end.
const drainTime = 30 * time.Second

type cli struct {
	Name          string        `required:"" help:"Server name, unique in the system."`
	Pool          string        `required:"" help:"Pool that the server joins."`
	FailureDomain string        `required:"" help:"Failure domain that the server runs in."`
	Listen        string        `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Entry         []string      `help:"Base URLs of entry VMs, such as http://127.0.0.1:8080."`
	Key           string        `env:"STANDIN_KEY" help:"Key for announcements."`
	Model         []string      `help:"Models that the server serves."`
	Adapter       []string      `help:"Adapters that the server has loaded."`
	Role          string        `enum:"prefill,decode,," default:"" help:"Role of an engine: prefill, decode or empty."`
	FirstToken    time.Duration `default:"5ms" help:"Time to the first byte of an answer."`
	TokenTime     time.Duration `default:"2ms" help:"Time between tokens."`
	Tokens        int           `default:"16" help:"Length of an answer in tokens."`
	Capacity      int           `default:"8" help:"Calls that run at once."`
	MaxQueue      int           `help:"Calls that wait before more are refused; 0 means no limit."`
	ColdCalls     int           `help:"Calls after the start for which the server is cold."`
	ColdFactor    float64       `default:"4" help:"How much slower a cold server is."`
	ColdCapacity  int           `help:"Calls at once at which a cold server falls over; 0 means never."`
	LoadLag       time.Duration `help:"Age of load reports."`
	CacheGap      int           `help:"Drop each n-th cache event."`
	ChecksFence   bool          `help:"Refuse orders with an old fencing number."`
	Stock         bool          `help:"Speak the stock protocol only."`
	Poison        []string      `help:"Crash on bodies that contain one of these texts."`
	Fault         string        `default:"none" help:"Fault of all calls, such as silent, truncate or cross."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Description("Runs one stand-in backend server for demos."))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (c *cli) run() error {
	fault := slices.Index(standin.FaultNames, c.Fault)
	if fault < 0 {
		return fmt.Errorf("standin: unknown fault %q, know %v", c.Fault, standin.FaultNames)
	}
	s := standin.New(standin.Options{
		Name: c.Name, Pool: c.Pool, FailureDomain: c.FailureDomain, Address: c.Listen,
		Models: c.Model, Adapters: c.Adapter, Role: c.Role, ChecksFence: c.ChecksFence, Stock: c.Stock,
		FirstToken: c.FirstToken, TokenTime: c.TokenTime, Tokens: c.Tokens,
		Capacity: c.Capacity, MaxQueue: c.MaxQueue,
		ColdCalls: c.ColdCalls, ColdFactor: c.ColdFactor, ColdCapacity: c.ColdCapacity,
		LoadLag: c.LoadLag, CacheGap: c.CacheGap,
	})
	s.SetFault(standin.Fault(fault), -1)
	s.SetPoison(c.Poison...)
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Println("listening on", s.Address())
	return c.announce(s)
}

// announce renews the announcement until a signal or a crash, then leaves.
func (c *cli) announce(s *standin.Server) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	client := &http.Client{}
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for s.Running() {
		if len(c.Entry) > 0 {
			if err := s.Announce(ctx, client, c.Entry, c.Key, false); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return c.leave(s, client)
		}
	}
	return fmt.Errorf("standin: %s crashed", c.Name)
}

func (c *cli) leave(s *standin.Server, client *http.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if len(c.Entry) > 0 {
		if err := s.Announce(ctx, client, c.Entry, c.Key, true); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return s.Shutdown(ctx)
}
