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
