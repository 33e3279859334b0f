//go:build review3

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(trouble bool) int{"founder": founder, "lastkey": lastkey, "limits": limits}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "name one case")
		os.Exit(unable)
	}
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0"))
}
