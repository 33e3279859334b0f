package grant

// Listed calls f for each entry of the pool, oldest first: those with a valid grant or a call in flight, and those
// whose grant expired less than about endedRetention ago.
func (h *Holder) Listed(pool string, f func(*HeldGrant)) {
	for _, g := range h.byPool[pool] {
		f(g)
	}
}
