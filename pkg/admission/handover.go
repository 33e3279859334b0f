package admission

import (
	"slices"
	"strings"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Export returns the state of the organisations with this fencing number for which in returns true, sorted by name. It is
// passed to Import on the shard's next grantor.
func (a *Allotter) Export(in func(organisation string) bool, fence uint64) []*daisyhatchv1.LimitState {
	var out []*daisyhatchv1.LimitState
	for name, o := range a.organisations {
		if o.fence == fence && in(name) {
			out = append(out, o.export(name))
		}
	}
	slices.SortFunc(out, func(x, y *daisyhatchv1.LimitState) int { return strings.Compare(x.Organisation, y.Organisation) })
	return out
}

func (o *account) export(name string) *daisyhatchv1.LimitState {
	out := &daisyhatchv1.LimitState{Organisation: name, Tokens: o.tokens}
	for _, h := range o.holders {
		out.Loans = append(out.Loans, &daisyhatchv1.LoanState{
			Vm: h.holder.vm, Incarnation: h.holder.incarnation, Units: uint32(h.units), Want: uint32(h.want),
		})
	}
	return out
}

// Import adds the state that the former grantor exported. fence is the shard's new fencing number. State that holders have
// already reported under that number is kept.
func (a *Allotter) Import(states []*daisyhatchv1.LimitState, fence uint64, now time.Time) {
	for _, m := range states {
		o := a.organisations[m.Organisation]
		if o == nil || o.fence != fence {
			o = &account{fence: fence, refilledAt: now}
			a.organisations[m.Organisation] = o
		}
		// The next refill caps the bucket at the current limits.
		o.tokens += m.Tokens
		for _, l := range m.Loans {
			o.importLoan(l, now)
		}
	}
}

func (o *account) importLoan(l *daisyhatchv1.LoanState, now time.Time) {
	key := holderKey{l.Vm, l.Incarnation}
	i := slices.IndexFunc(o.holders, func(h loan) bool { return h.holder == key })
	if i < 0 {
		o.holders = append(o.holders, loan{holder: key, units: int(l.Units), want: int(l.Want), at: now})
		return
	}
	// The holder may have been lent more by the former grantor after its draw from this one.
	o.holders[i].units = max(o.holders[i].units, int(l.Units))
}
