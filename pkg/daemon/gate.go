package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
)

// admissionOptions returns what the admission of an entry VM stands on.
func (e *entrySlots) admissionOptions(k *kernel.Kernel, p *peers, f *follower, o slots.Options) admission.Options {
	return admission.Options{
		VM:          o.VM,
		Incarnation: o.Incarnation,
		Limits:      f.limits,
		Forecast: func(pipeline, organisation string) time.Duration {
			return e.slots.Forecast(f.client.Current().Set, pipeline, organisation)
		},
		Grantors: o.Grantors,
		HTTP:     p.client,
		Logger:   k.Log().WithName("admission"),
	}
}

// limits returns an organisation's limits in the configuration in force.
func (f *follower) limits(organisation string) admission.Limits {
	set := f.client.Current().Set
	if set == nil || set.Organisations[organisation] == nil {
		return admission.Limits{}
	}
	o := set.Organisations[organisation]
	return admission.Limits{Rate: o.Rate, Burst: o.Burst, Concurrency: o.Concurrency}
}

// Start implements kernel.Service.
func (e *entrySlots) Start(ctx context.Context) error {
	if err := e.slots.Start(ctx); err != nil {
		return err
	}
	return e.gate.Start(ctx)
}

// Stop implements kernel.Service.
func (e *entrySlots) Stop(ctx context.Context) error {
	return errors.Join(e.gate.Stop(ctx), e.slots.Stop(ctx))
}
