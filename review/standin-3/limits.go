//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// limits raises limits.maxHeaderBytes and sends requests whose headers are well below it.
func limits(trouble bool) int {
	w, end := deployment(73, withLimit(1, 16384))
	defer end()
	if w == nil {
		return unable
	}
	status, _, err := w.order(http.MethodPut, "/-/config", withLimit(2, 65536), 20*time.Second)
	w.say("operator: configuration 2 with maxHeaderBytes 65536: %d, %v", status, err)
	if err != nil || status != http.StatusOK {
		return unable
	}
	time.Sleep(4 * time.Second)
	parts := 500
	if trouble {
		parts = 2400
	}
	prefix := strings.TrimSuffix(strings.Repeat("5c1e07a2:800,", parts), ",")
	denied, other := 0, 0
	for i := range 60 {
		switch s := w.get(i%3, fmt.Sprintf("c%015x", i), "9dnn2ctnfzs989anu6ws", http.Header{"X-Daisyhatch-Prefix-Hash": {prefix}}); {
		case s == http.StatusOK:
		case s >= 300 && s < 500:
			denied++
		default:
			other++
		}
	}
	w.say("result: %d requests of 60 with a header of %d bytes were denied, %d had no success otherwise", denied, len(prefix), other)
	if denied > 5 {
		return broken
	}
	return held
}
