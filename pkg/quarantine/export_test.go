package quarantine

// Size returns how many fingerprints are kept.
func (t *Tracker) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.memory.own.Records()) + len(t.memory.shared) + len(t.memory.served)
}
