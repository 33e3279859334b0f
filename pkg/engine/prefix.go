package engine

import "github.com/cespare/xxhash/v2"

// Limits of prefix hashing.
const (
	// PrefixBlock is the length of one prefix block in bytes.
	PrefixBlock = 1024
	// MaxPrefixBlocks is the maximum number of blocks that are hashed per prompt.
	MaxPrefixBlocks = 32
)

// PrefixBlocks returns the hashes of the prefixes of body that end at block boundaries, shortest first. Each hash is
// the XXH64, with seed 0, of all bytes up to the boundary. Servers with CapabilityCacheEvents identify the blocks of
// their prompt cache by the same hashes. An incomplete last block is not hashed.
func PrefixBlocks(body []byte) []uint64 {
	n := min(len(body)/PrefixBlock, MaxPrefixBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	d := xxhash.New()
	for i := range out {
		_, _ = d.Write(body[i*PrefixBlock : (i+1)*PrefixBlock])
		out[i] = d.Sum64()
	}
	return out
}
