package daemon

import (
	"context"

	"github.com/daisyhatch/daisyhatch/pkg/cacheevents"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
)

// cacheReader reads the cache events of the backend servers that an entry VM uses.
type cacheReader struct {
	reader *cacheevents.Reader
}

func (c *cacheReader) Name() string       { return serviceCacheEvents }
func (c *cacheReader) Requires() []string { return []string{serviceSlots} }
func (c *cacheReader) Validate() error    { return nil }

// Provision implements kernel.Service.
func (c *cacheReader) Provision(k *kernel.Kernel) error {
	s, err := kernel.Lookup[*entrySlots](k, serviceSlots)
	if err != nil {
		return err
	}
	c.reader = cacheevents.New(cacheevents.Options{
		Source: s.engine, Index: s.slots, Logger: k.Log().WithName("cache-events"),
	})
	return nil
}

// Start implements kernel.Service.
func (c *cacheReader) Start(context.Context) error {
	c.reader.Start()
	return nil
}

// Stop implements kernel.Service.
func (c *cacheReader) Stop(context.Context) error {
	c.reader.Stop()
	return nil
}
