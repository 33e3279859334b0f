package suspect

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Parts of the prompts in these tests.
const (
	routePart  = uint64(1)
	matePart   = uint64(2)
	deadlyPart = uint64(3)
	otherPart  = uint64(4)
)

// partStep is one event: a crash under requests, or an answer to prompts with parts.
type partStep struct {
	atMs int64
	// server crashes; empty for an answer.
	server   string
	requests []*daisyhatchv1.UnansweredRequest
	// answers are the last answers that the reporting VM knows, by age.
	answers []*daisyhatchv1.PartAnswer
}

func crashStep(atMs int64, server string, requests ...*daisyhatchv1.UnansweredRequest) partStep {
	return partStep{atMs: atMs, server: server, requests: requests}
}

func answerStep(atMs int64, parts ...uint64) partStep {
	s := partStep{atMs: atMs}
	for _, p := range parts {
		s.answers = append(s.answers, &daisyhatchv1.PartAnswer{Part: p})
	}
	return s
}

func unanswered(fingerprint uint64, parts ...uint64) *daisyhatchv1.UnansweredRequest {
	return &daisyhatchv1.UnansweredRequest{Fingerprint: fingerprint, Parts: parts}
}

// apply applies a step as the state machine does.
func (s partStep) apply(t require.TestingT, table *Table) {
	if s.server == "" {
		table.Answered(s.answers, s.atMs)
		return
	}
	c := &daisyhatchv1.CrashCommand{Server: s.server, ServerIncarnation: "1", Unanswered: s.requests, Answers: s.answers}
	_, err := table.Crash(c, s.atMs)
	require.NoError(t, err)
	table.CrashParts(c, s.atMs)
}

func refusedParts(table *Table) []uint64 {
	var out []uint64
	for _, s := range table.Parts() {
		if s.GetState() == convicted {
			out = append(out, s.GetFingerprint())
		}
	}
	return out
}

func TestPartThatExplainsTheCrashesIsRefused(t *testing.T) {
	deadly := func(atMs int64, n uint64, mates ...uint64) partStep {
		return crashStep(atMs, fmt.Sprint(atMs), unanswered(n, append(mates, deadlyPart)...))
	}
	tests := map[string]struct {
		steps []partStep
		want  []uint64
	}{
		"three crashes": {
			[]partStep{deadly(1000, 1), deadly(2000, 2), deadly(3000, 3)}, []uint64{deadlyPart},
		},
		"two crashes": {[]partStep{deadly(1000, 1), deadly(2000, 2)}, nil},
		"a part that is answered in between": {
			[]partStep{
				deadly(1000, 1, routePart), answerStep(1500, routePart), deadly(2000, 2, routePart), answerStep(2500, routePart),
				deadly(3000, 3, routePart),
			}, []uint64{deadlyPart},
		},
		"an answer that only the reporting VM knows": {
			[]partStep{
				deadly(1000, 1, routePart), deadly(2000, 2, routePart),
				{atMs: 3000, server: "c", requests: []*daisyhatchv1.UnansweredRequest{unanswered(3, routePart, deadlyPart)}, answers: []*daisyhatchv1.PartAnswer{{Part: routePart, AgeMs: 100}}},
			}, []uint64{deadlyPart},
		},
		"two parts explain the same crashes": {
			[]partStep{deadly(1000, 1, matePart), deadly(2000, 2, matePart), deadly(3000, 3, matePart)}, []uint64{matePart, deadlyPart},
		},
		"one part explains more than another": {
			[]partStep{deadly(1000, 1), deadly(2000, 2, matePart), deadly(3000, 3, matePart), deadly(4000, 4, matePart)}, []uint64{deadlyPart},
		},
		"one part explains one more of the crashes at once": {
			[]partStep{
				deadly(1000, 1, matePart), deadly(1010, 2), deadly(2000, 3, matePart), deadly(3000, 4, matePart),
			}, []uint64{deadlyPart},
		},
		"one request explains the crashes": {
			[]partStep{deadly(1000, 1), deadly(2000, 1), deadly(3000, 1), deadly(4000, 1)}, nil,
		},
		"one request, then another with the same part": {
			[]partStep{deadly(1000, 1), deadly(2000, 1), deadly(3000, 1), deadly(4000, 2)}, []uint64{deadlyPart},
		},
		"servers that end at once": {
			[]partStep{deadly(1000, 1), deadly(1040, 2), deadly(1080, 3), deadly(1099, 4)}, nil,
		},
		"two deadly parts": {
			[]partStep{
				deadly(1000, 1), crashStep(1200, "x", unanswered(9, otherPart)), deadly(2000, 2), crashStep(2200, "y", unanswered(8, otherPart)),
				deadly(3000, 3), crashStep(3200, "z", unanswered(7, otherPart)),
			}, []uint64{deadlyPart, otherPart},
		},
		"a part beside the deadly one in the reports of another VM": {
			[]partStep{
				crashStep(1000, "a", unanswered(20, otherPart)), crashStep(1001, "a", unanswered(1, deadlyPart)),
				crashStep(2000, "b", unanswered(21, otherPart)), crashStep(2001, "b", unanswered(2, deadlyPart)),
				crashStep(2500, "x", unanswered(3, deadlyPart)),
				crashStep(3000, "c", unanswered(22, otherPart)), crashStep(3001, "c", unanswered(4, deadlyPart)),
			}, []uint64{deadlyPart},
		},
		"the other VM's report comes first": {
			[]partStep{
				crashStep(1000, "a", unanswered(20, otherPart)), crashStep(1000, "b", unanswered(20, otherPart)),
				crashStep(2000, "c", unanswered(21, otherPart)), crashStep(3000, "d", unanswered(22, otherPart)),
				{atMs: 3005, server: "e", requests: []*daisyhatchv1.UnansweredRequest{unanswered(4, deadlyPart)}},
				crashStep(3006, "a", unanswered(1, deadlyPart)), crashStep(3007, "c", unanswered(2, deadlyPart)),
				crashStep(3008, "d", unanswered(3, deadlyPart)), crashStep(3300, "f", unanswered(5, deadlyPart)),
			}, []uint64{deadlyPart},
		},
		"an answer after the refusal": {
			[]partStep{deadly(1000, 1), deadly(2000, 2), deadly(3000, 3), answerStep(3200, deadlyPart)}, nil,
		},
		"an answer that began before the refusal": {
			[]partStep{deadly(1000, 1), deadly(2000, 2), deadly(3000, 3), {atMs: 5000, answers: []*daisyhatchv1.PartAnswer{{Part: deadlyPart, AgeMs: 4500}}}},
			[]uint64{deadlyPart},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New()
			for _, s := range tc.steps {
				s.apply(t, table)
			}
			require.Equal(t, tc.want, refusedParts(table))
		})
	}
}

// threeCrashes has a part refused at 3,000 ms, with mates that explain the same crashes.
func threeCrashes(t *testing.T, table *Table, parts ...uint64) {
	for n := range int64(3) {
		crashStep(1000*(n+1), fmt.Sprint(n), unanswered(uint64(n), parts...)).apply(t, table)
	}
}

func try(table *Table, part uint64, atMs int64) bool {
	return table.TryPart(&daisyhatchv1.PartTrialCommand{Part: part}, atMs).GetGranted()
}

// A part that stays deadly costs one server for each trial, and trials get rare: seven in the first day.
func TestTrialsOfADeadlyPartGetRare(t *testing.T) {
	table := New()
	threeCrashes(t, table, deadlyPart)
	var trials []int64
	for at := int64(3000); at < 6*3_600_000; at += 500 {
		if !try(table, deadlyPart, at) {
			continue
		}
		require.False(t, try(table, deadlyPart, at+1), "one trial at a time")
		trials = append(trials, at-3000)
		crashStep(at+200, fmt.Sprint("trial", at), unanswered(uint64(at), deadlyPart)).apply(t, table)
	}
	require.Equal(t, int64(FirstRefusalMs), trials[0])
	within := func(ms int64) int {
		return len(slices.DeleteFunc(slices.Clone(trials), func(at int64) bool { return at > ms }))
	}
	require.LessOrEqual(t, within(60_000), 1)
	require.LessOrEqual(t, within(600_000), 2)
	require.LessOrEqual(t, within(3_600_000), 4)
	require.LessOrEqual(t, len(trials), 9, "one an hour later")
}

func TestPartIsAcceptedAfterAnsweredTrial(t *testing.T) {
	table := New()
	threeCrashes(t, table, deadlyPart)
	require.True(t, try(table, deadlyPart, 3000+FirstRefusalMs))
	answerStep(3000+FirstRefusalMs+100, deadlyPart).apply(t, table)
	require.Empty(t, refusedParts(table))
}

// A trial whose VM is lost ends by itself, and the next one may begin.
func TestLostTrialEnds(t *testing.T) {
	table := New()
	threeCrashes(t, table, deadlyPart)
	at := int64(3000 + FirstRefusalMs)
	require.True(t, try(table, deadlyPart, at))
	require.False(t, try(table, deadlyPart, at+TrialMs-1))
	require.True(t, try(table, deadlyPart, at+TrialMs))
}

// Of two parts that explain the same crashes, the sound one is accepted after its first answer, and the other one then
// waits as long as if it had been alone.
func TestPartsThatAlwaysCameTogetherAreToldApart(t *testing.T) {
	table := New()
	threeCrashes(t, table, matePart, deadlyPart)
	require.Equal(t, []uint64{matePart, deadlyPart}, refusedParts(table))
	require.True(t, try(table, matePart, 3100))
	answerStep(3300, matePart).apply(t, table)
	require.Equal(t, []uint64{deadlyPart}, refusedParts(table))
	require.False(t, try(table, deadlyPart, 3400))
	require.True(t, try(table, deadlyPart, 3000+FirstRefusalMs))
}

// A part in common use may be refused by chance, after crashes in a quiet minute. Since it was answered before, its first trial
// needs no wait; if it crashes its server, the wait begins.
func TestPartThatWasAnsweredBeforeIsTriedAtOnce(t *testing.T) {
	for _, deadly := range []bool{false, true} {
		table := New()
		for n := range int64(3) {
			s := crashStep(1000*(n+1), fmt.Sprint(n), unanswered(uint64(n), routePart))
			s.answers = []*daisyhatchv1.PartAnswer{{Part: routePart, AgeMs: 60_000 + 1000*n}}
			s.apply(t, table)
		}
		require.Equal(t, []uint64{routePart}, refusedParts(table))
		require.True(t, try(table, routePart, 3010))
		if deadly {
			crashStep(3200, "trial", unanswered(50, routePart)).apply(t, table)
			require.False(t, try(table, routePart, 3200+FirstRefusalMs-1))
			require.True(t, try(table, routePart, 3200+FirstRefusalMs))
			continue
		}
		answerStep(3200, routePart).apply(t, table)
		require.Empty(t, refusedParts(table))
	}
}

// The evidence is bounded, whatever is reported.
func TestEvidenceAgainstPartsIsBounded(t *testing.T) {
	table := New()
	for n := range int64(MaxPartCrashes + 8) {
		s := crashStep(1000*n, fmt.Sprint(n))
		for i := range uint64(MaxFingerprints) {
			s.requests = append(s.requests, unanswered(uint64(n)<<32|i, uint64(n/4)<<32|i, uint64(n/4)<<32|1<<20|i))
		}
		s.apply(t, table)
		require.LessOrEqual(t, len(table.parts.crashes), MaxPartCrashes)
		require.LessOrEqual(t, len(table.parts.refused), maxRefusedParts)
		require.LessOrEqual(t, len(table.parts.crashes[len(table.parts.crashes)-1].GetParts()), MaxCauses)
	}
}

// Tables that apply the same steps agree, also when one of them is restored from a snapshot on the way.
func TestPartsAgreeAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		at := int64(1000)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += rapid.SampledFrom([]int64{1, 50, 150, 2000, FirstRefusalMs, SuspicionMs}).Draw(t, "pass")
			part := rapid.Uint64Range(1, 4)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				s := answerStep(at, part.Draw(t, "answered"))
				s.apply(t, a)
				s.apply(t, b)
			case 1:
				p := part.Draw(t, "tried")
				require.Equal(t, try(a, p, at), try(b, p, at))
			default:
				s := crashStep(at, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "server")), unanswered(uint64(n), rapid.SliceOfN(part, 1, 3).Draw(t, "parts")...))
				s.apply(t, a)
				s.apply(t, b)
			}
			if rapid.Bool().Draw(t, "reload") {
				data, err := proto.MarshalOptions{Deterministic: true}.Marshal(b.PartsSnapshot())
				require.NoError(t, err)
				s := &daisyhatchv1.PartsSnapshot{}
				require.NoError(t, proto.Unmarshal(data, s))
				b, err = Restore(b.Records(), s, b.Version())
				require.NoError(t, err)
			}
			require.True(t, proto.Equal(a.PartsSnapshot(), b.PartsSnapshot()))
		}
	})
}
