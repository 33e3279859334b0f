package quarantine

// Size returns the number of fingerprints stored, of suspects and of served requests.
func (t *Tracker) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.state.local.Records()) + len(t.state.shared) + len(t.state.lastServed)
}
