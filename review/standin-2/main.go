//go:build review

// Command review-standin-2 plays the cases of the second review: it starts the processes of a small deployment on loopback
// addresses, with stand-ins for clients, replicas, the operator and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*world) verdict{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}

// verdict is what a case came to.
type verdict struct {
	broken bool
	why    string
}

// notRun ends a case that could not be played.
type notRun struct{ why string }

func play(record string, run func(*world) verdict) (code int) {
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case notRun:
			w.note("the case could not be played: %s", e.why)
			fmt.Println("not run:", e.why)
			code = exitNotRun
		default:
			panic(e)
		}
	}()
	v := run(w)
	if v.broken {
		w.note("BROKEN: %s", v.why)
		fmt.Println("broken:", v.why)
		return exitBroken
	}
	w.note("held: %s", v.why)
	fmt.Println("held:", v.why)
	return exitHeld
}
