package revision

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

func TestHighestVersionStaysInForceWhateverComesLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		highest, content := uint64(0), ""
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			v := rapid.Uint64Range(1, 12).Draw(t, "version")
			doc := fmt.Sprintf("%d of command %d", v, i)
			r, err := s.Publish(&daisyhatchv1.RevisionCommand{Version: v, Document: []byte(doc)})
			if err != nil {
				t.Fatal(err)
			}
			accepted := r.GetOutcome() == daisyhatchv1.RevisionOutcome_REVISION_OUTCOME_ACCEPTED
			if accepted != (v > highest) {
				t.Fatalf("version %d over %d: accepted %v", v, highest, accepted)
			}
			if accepted {
				highest, content = v, doc
			}
			s = Restore(s.Snapshot())
			if got := s.State(); got.Version != highest || string(got.Document) != content {
				t.Fatalf("in force %d %q, want %d %q", got.Version, got.Document, highest, content)
			}
		}
	})
}

func TestDomainsAreASetAndCommandsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, want := New(), map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			out := rapid.Bool().Draw(t, "out")
			number := s.State().Number
			r, err := s.Domain(&daisyhatchv1.DomainCommand{FailureDomain: name, Out: out})
			if err != nil {
				t.Fatal(err)
			}
			if r.GetChanged() != (want[name] != out) || r.GetChanged() != (s.State().Number > number) {
				t.Fatalf("changed %v, number %d after %d", r.GetChanged(), s.State().Number, number)
			}
			want[name] = out
		}
		for name, out := range want {
			if slices.Contains(s.State().DomainsOut, name) != out {
				t.Fatalf("domain %s: want out %v in %v", name, out, s.State().DomainsOut)
			}
		}
	})
}

func TestMalformedCommandsChangeNothing(t *testing.T) {
	s := New()
	_, err := s.Publish(&daisyhatchv1.RevisionCommand{Version: 0, Document: []byte("x")})
	require.ErrorIs(t, err, ErrCommand)
	_, err = s.Publish(&daisyhatchv1.RevisionCommand{Version: 3})
	require.ErrorIs(t, err, ErrCommand)
	_, err = s.Domain(&daisyhatchv1.DomainCommand{})
	require.ErrorIs(t, err, ErrCommand)
	require.Zero(t, s.State().Number)
}

func domainOrder(name string, out bool, base uint64) *daisyhatchv1.DomainCommand {
	return &daisyhatchv1.DomainCommand{FailureDomain: name, Out: out, BaseNumber: &base}
}

// An order that stood still on its way must not undo a later one. Guards against an evacuation that ends by an order which had been
// given before it.
func TestLaterOrderOvertakesOneWithAnOlderBase(t *testing.T) {
	for name, restored := range map[string]bool{"same store": false, "restored store": true} {
		t.Run(name, func(t *testing.T) {
			s := New()
			give := func(name string, out bool, base uint64) *daisyhatchv1.DomainResult {
				if restored {
					s = Restore(s.Snapshot())
				}
				r, err := s.Domain(domainOrder(name, out, base))
				require.NoError(t, err)
				return r
			}
			require.True(t, give("a", true, 0).GetChanged())
			stale := s.State().Number
			require.True(t, give("a", false, stale).GetChanged(), "the same order, given elsewhere")
			require.True(t, give("a", true, s.State().Number).GetChanged())
			before := s.State()
			r := give("a", false, stale)
			require.True(t, r.GetOvertaken())
			require.False(t, r.GetChanged())
			require.Equal(t, before.DomainsOut, s.State().DomainsOut)
			require.Equal(t, before.Number+1, s.State().Number, "replicas that don't know the base count it as a change")
		})
	}
}

// Orders that were sent twice, concern another failure domain, or bear no base are carried out.
func TestHonestOrdersAreNotOvertaken(t *testing.T) {
	s := New()
	for _, c := range []*daisyhatchv1.DomainCommand{
		domainOrder("a", true, 0), domainOrder("a", true, 0), domainOrder("b", true, 0), domainOrder("b", false, 2), domainOrder("b", false, 2),
		{FailureDomain: "a", Out: false},
	} {
		r, err := s.Domain(c)
		require.NoError(t, err)
		require.False(t, r.GetOvertaken(), c.String())
	}
	require.Empty(t, s.State().DomainsOut)
}
