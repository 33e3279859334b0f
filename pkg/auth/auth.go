// Package auth finds out who calls by the key that the call carries. Configurations hold only SHA-256 hashes
// of keys; a presented key is hashed and compared in constant time.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// Errors of this package.
var (
	// ErrNoKey means that the call carries no key.
	ErrNoKey = errors.New("auth: no key")
	// ErrUnknownKey means that the key belongs to nobody.
	ErrUnknownKey = errors.New("auth: unknown key")
)

// MaxKeyBytes bounds the length of a presented key.
const MaxKeyBytes = 512

const bearer = "Bearer "

// KeyFrom returns the bearer key of a call. It returns ErrNoKey when there is none or it is too long.
func KeyFrom(h http.Header) (string, error) {
	v := h.Get("Authorization")
	if len(v) <= len(bearer) || !strings.EqualFold(v[:len(bearer)], bearer) {
		return "", ErrNoKey
	}
	key := strings.TrimSpace(v[len(bearer):])
	if key == "" || len(key) > MaxKeyBytes {
		return "", ErrNoKey
	}
	return key, nil
}

// HashKey returns the SHA-256 hash of a key in hex, as configurations hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

type digest [sha256.Size]byte

// Index finds the owners of keys in one configuration. It is not changed after NewIndex.
type Index struct {
	organisations map[digest]*config.Organisation
	operators     map[digest]*config.Operator
	announce      map[string][]digest
}

// NewIndex returns the index of set. Hashes that are not 64 hex digits are left out; the checker refuses them.
func NewIndex(set *config.Set) *Index {
	x := &Index{
		organisations: make(map[digest]*config.Organisation),
		operators:     make(map[digest]*config.Operator),
		announce:      make(map[string][]digest),
	}
	for _, o := range set.Organisations {
		for _, d := range digests(o.KeyHashes) {
			x.organisations[d] = o
		}
	}
	for _, o := range set.Operators {
		for _, d := range digests(o.KeyHashes) {
			x.operators[d] = o
		}
	}
	for _, p := range set.Pools {
		x.announce[p.Name] = digests(p.AnnounceKeyHashes)
	}
	return x
}

// Organisation returns the organisation that owns key, or ErrUnknownKey. The map is keyed by the hash of the
// presented key, so its timing tells nothing about the keys themselves.
func (x *Index) Organisation(key string) (*config.Organisation, error) {
	o, ok := x.organisations[sha256.Sum256([]byte(key))]
	if !ok {
		return nil, ErrUnknownKey
	}
	return o, nil
}

// Operator returns the operator that owns key, or ErrUnknownKey.
func (x *Index) Operator(key string) (*config.Operator, error) {
	o, ok := x.operators[sha256.Sum256([]byte(key))]
	if !ok {
		return nil, ErrUnknownKey
	}
	return o, nil
}

// MayAnnounce returns nil when key lets a server announce itself into pool.
func (x *Index) MayAnnounce(pool, key string) error {
	hashes, ok := x.announce[pool]
	if !ok {
		return fmt.Errorf("%w: no pool %q", ErrUnknownKey, pool)
	}
	sum := sha256.Sum256([]byte(key))
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare(sum[:], h[:])
	}
	if found == 0 {
		return ErrUnknownKey
	}
	return nil
}

func digests(hashes []string) []digest {
	var out []digest
	for _, h := range hashes {
		b, err := hex.DecodeString(strings.TrimSpace(h))
		if err != nil || len(b) != sha256.Size {
			continue
		}
		out = append(out, digest(b))
	}
	return out
}
