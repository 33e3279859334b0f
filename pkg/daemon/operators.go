package daemon

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/control"
)

// bootstrapOperator is who publishes the first configuration.
const bootstrapOperator = "bootstrap"

// maxOperatorBody bounds an operator's call in bytes; a configuration with 21,000 organisations takes 5 MiB.
const maxOperatorBody = 16 << 20

// authenticate puts the operator whose key a call carries into its context. While no configuration is in force,
// only the key with the hash bootstrap is known.
func authenticate(inForce func() (uint64, *config.Set), bootstrap string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, err := auth.KeyFrom(r.Header)
		if err != nil {
			http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
			return
		}
		o, ok := findOperator(inForce, bootstrap, key)
		if !ok {
			http.Error(w, "the operator's key isn't known", http.StatusUnauthorized)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
		defer cancel()
		r = r.WithContext(control.WithOperator(ctx, o.Name, o.Role))
		r.Body = http.MaxBytesReader(w, r.Body, maxOperatorBody)
		next.ServeHTTP(w, r)
	})
}

func findOperator(inForce func() (uint64, *config.Set), bootstrap, key string) (control.Operator, bool) {
	_, set := inForce()
	if set == nil {
		same := subtle.ConstantTimeCompare([]byte(auth.HashKey(key)), []byte(bootstrap)) == 1
		return control.Operator{Name: bootstrapOperator, Role: config.RoleAdmin}, same
	}
	o, err := auth.NewIndex(set).Operator(key)
	if err != nil {
		return control.Operator{}, false
	}
	return control.Operator{Name: o.Name, Role: o.Role}, true
}
