//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// ran503 has one of three replicas fail 0.4 of its requests: it runs them and answers 503 with its signature, and without the header which
// states that it did not run them. A client that gets 503 has the promise that its request has not run and never will, and sends it again.
func ran503(trouble bool) int {
	w, end := deployment(76, configuration(1))
	defer end()
	if w == nil {
		return unable
	}
	if trouble {
		w.replicas[0].setFails(0.4)
	}
	refusedAndRan, twice := 0, 0
	for i := range 150 {
		first := fmt.Sprintf("f%014x1", i)
		if s := w.book(i%3, first); s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
			second := fmt.Sprintf("f%014x2", i)
			w.book((i+1)%3, second)
			if w.runs(first) > 0 {
				refusedAndRan++
				if w.runs(second) > 0 {
					twice++
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.say("result: %d of 150 bookings were answered 429 or 503 and had run; %d of these were applied twice, since their clients sent them again", refusedAndRan, twice)
	if refusedAndRan > 0 {
		return broken
	}
	return held
}
