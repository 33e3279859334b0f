//go:build review3

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(trouble bool) int{"extra": extra, "ran503": ran503, "writer": writer, "founder": founder, "lastkey": lastkey}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "name one case")
		os.Exit(unable)
	}
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0"))
}
