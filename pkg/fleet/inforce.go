package fleet

import (
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

// logInForce logs a replicated state that took effect on this VM. set is the configuration that came with it; nil if that is unchanged.
func logInForce(log logr.Logger, number, version uint64, domainsOut []string, set *catalog.Set) {
	fields := []any{"number", number, "version", version, "domains_out", domainsOut}
	if set != nil {
		fields = append(fields, "keys_needed", set.KeysNeeded(), "keys", set.KeyCount())
	}
	log.Info("state in force", fields...)
}
