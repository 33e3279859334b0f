package suspect

import "github.com/cespare/xxhash/v2"

// Fingerprint names a request by what a repeat of it has in common with the first: the caller's organisation, the work
// that is asked for (a pipeline, or a host and a path), and the body.
func Fingerprint(organisation, work string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(work)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}
