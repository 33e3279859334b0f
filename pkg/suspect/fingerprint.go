package suspect

import "github.com/cespare/xxhash/v2"

// Fingerprint returns a hash of what a request and its retries have in common: the caller's organisation, the requested
// work (a pipeline, or a host and a path) and the body.
func Fingerprint(organisation, work string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(work)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}
