package config_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

var exampleFiles = []string{"../../examples/tas-south.ini", "../../examples/muscat.ini"}

func readExample(t testing.TB, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	return text
}

func problems(t testing.TB, text string) []config.Problem {
	t.Helper()
	_, err := config.Parse("test.ini", []byte(text))
	if err == nil {
		return nil
	}
	var p *config.Problems
	require.True(t, errors.As(err, &p))
	return p.List
}

func TestExamplesAreValid(t *testing.T) {
	sizes := map[string][]int{"../../examples/tas-south.ini": {12, 5, 5, 5, 3}, "../../examples/muscat.ini": {10, 5, 5, 3, 3}}
	for _, file := range exampleFiles {
		set, err := config.Parse(file, readExample(t, file))
		require.NoError(t, err)
		var replicas []int
		for _, p := range set.Pools {
			replicas = append(replicas, p.Replicas)
		}
		require.ElementsMatch(t, sizes[file], replicas)
		require.Len(t, set.FailureDomains, 3)
		require.Len(t, set.Organisations, 5)
	}
}

var headerRule = regexp.MustCompile(`(?m)^\[([a-z-]+) "([^"]+)"\]$`)

// sectionsOf splits text into the header's kind and name and the span of each section.
func sectionsOf(text string) (found [][2]string, spans [][2]int) {
	at := headerRule.FindAllStringSubmatchIndex(text, -1)
	for i, m := range at {
		end := len(text)
		if i+1 < len(at) {
			end = at[i+1][0]
		}
		found = append(found, [2]string{text[m[2]:m[3]], text[m[4]:m[5]]})
		spans = append(spans, [2]int{m[0], end})
	}
	return found, spans
}

// unreferenced are the kinds that no other object refers to.
var unreferenced = map[string]bool{"operator": true, "pipeline": true, "service": true}

func TestRemovingAnyReferencedSectionFailsAndNamesIt(t *testing.T) {
	removed := 0
	for _, file := range exampleFiles {
		text := string(readExample(t, file))
		sections, spans := sectionsOf(text)
		for i, s := range sections {
			rest := text[:spans[i][0]] + text[spans[i][1]:]
			word := regexp.MustCompile(`(?m)^[a-z-]+ = .*\b` + regexp.QuoteMeta(s[1]) + `\b`)
			if unreferenced[s[0]] || !word.MatchString(rest) {
				continue
			}
			removed++
			found := problems(t, rest)
			require.NotEmpty(t, found, "%s without [%s %q]", file, s[0], s[1])
			named := false
			for _, p := range found {
				named = named || strings.Contains(p.Message, `"`+s[1]+`"`) && p.Line > 0 && p.Section != "" && p.Key != ""
			}
			require.True(t, named, "%s without [%s %q]: %v", file, s[0], s[1], found)
		}
	}
	require.Equal(t, 49, removed) // 24 of tas-south and 25 of muscat
}

func TestFaultsAreFound(t *testing.T) {
	base := string(readExample(t, exampleFiles[0]))
	cases := map[string]struct{ old, new, want string }{
		"typing error in a reference": {"pool = bookings-desk", "pool = boking-desk", `test.ini:%: [stage "book-collection"] pool: pool "boking-desk" does not exist (did you mean "bookings-desk"?)`},
		"unknown key":                 {"objective = 0.995", "objectiv = 0.995", `unknown key (did you mean "objective"?)`},
		"unknown kind":                {`[service "bookings"]`, `[servise "bookings"]`, `unknown kind of section (did you mean "service"?)`},
		"duplicate section":           {`[stage "rank"]`, `[stage "encode"]`, "section is written twice"},
		"duplicate key":               {"role = admin", "role = admin\nrole = view", "key is written twice"},
		"hedged and not repeatable":   {"repeatable = no", "repeatable = no\nhedge = yes", "can't be hedged"},
		"deadline below minima":       {"deadline = 4s", "deadline = 100ms", "deadline 100ms is below the 175ms"},
		"service deadline":            {"deadline = 3s", "deadline = 10ms", "deadline 10ms is below the 20ms"},
		"cold above warm":             {"cold-concurrency = 1\n", "cold-concurrency = 9\n", "9 is above concurrency 8"},
		"model not in pool":           {"model = hut-ranker\nminimum", "model = hut-writer\nminimum", `does not serve model "hut-writer"`},
		"unknown adapter":             {"adapter = condition-report", "adapter = condition-raport", `did you mean "condition-report"?`},
		"wrong operation":             {"operation = rerank", "operation = chat", "doesn't run on pool"},
		"stage twice":                 {"stages = find-records, summarise-run", "stages = find-records, find-records", "appears twice"},
		"missing key":                 {"region = tas-south\nstate = in", "state = in", "required key is missing"},
		"path on a chat stage":        {"operation = embed", "operation = embed\npath = /x", "only a stage with operation http has a path"},
		"objective of one":            {"objective = 0.999", "objective = 1", "a share above 0 and below 1"},
		"not a number":                {"weight = 8", "weight = NaN", "not a whole number"},
		"infinite rate":               {"rate = 40", "rate = NaN", "is not within"},
		// A missing list opens the pipeline to all organisations.
		"no organisation left": {"organisations = derwent-laundry, tamar-linen, parks-rangers\n", "organisations =\n", "organisations: list has an empty item"},
		"section header":       {`[stage "rank"]`, `[stage rank]`, "a section is written"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, base, c.old)
			found := problems(t, strings.Replace(base, c.old, c.new, 1))
			require.NotEmpty(t, found)
			line := regexp.MustCompile(`test\.ini:\d+:`).ReplaceAllString((&config.Problems{List: found}).Error(), "test.ini:%:")
			require.Contains(t, line, c.want)
		})
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	base := string(readExample(t, exampleFiles[1]))
	broken := strings.NewReplacer("region = muscat", "region = muskat", "pool = inventory", "pool = inventary").Replace(base)
	require.Len(t, problems(t, broken), 5)
}

func TestPoolWithAllDomainsOutIsRefused(t *testing.T) {
	base := string(readExample(t, exampleFiles[1]))
	require.Empty(t, problems(t, strings.Replace(base, "state = in", "state = out", 2)))
	found := problems(t, strings.ReplaceAll(base, "state = in", "state = out"))
	require.Len(t, found, 5)
	require.Contains(t, found[0].Message, "all failure domains of the pool are out of service")
}

func TestSharedKeyIsRefused(t *testing.T) {
	base := string(readExample(t, exampleFiles[1]))
	hash := regexp.MustCompile(`key-hash = [0-9a-f]{64}`)
	first := hash.FindString(base[strings.Index(base, "[organisation"):])
	var out []string
	for _, s := range strings.SplitAfter(base, "\n") {
		if strings.HasPrefix(s, "key-hash") {
			s = first + "\n"
		}
		out = append(out, s)
	}
	found := problems(t, strings.Join(out, ""))
	require.Len(t, found, 7)
	require.Contains(t, found[0].Message, "belongs to [organisation")
}

func TestNoPublisherIsRefused(t *testing.T) {
	base := string(readExample(t, exampleFiles[1]))
	text := strings.NewReplacer("role = admin", "role = view", "role = publish", "role = view").Replace(base)
	require.Contains(t, problems(t, text)[0].Message, "nobody could publish")
}

// TestParserAgreesWithParse edits a text at random many times: a Parser that remembers the last text must say the
// same as one that knows nothing.
func TestParserAgreesWithParse(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		lines := strings.SplitAfter(string(readExample(t, exampleFiles[seed%2])), "\n")
		parser := config.NewParser()
		valid := 0
		for range 150 {
			edited := slices.Clone(lines)
			i, j := random.IntN(len(edited)), random.IntN(len(edited))
			switch random.IntN(4) {
			case 0:
				edited = slices.Delete(edited, i, i+1)
			case 1:
				edited = slices.Insert(edited, i, lines[j])
			case 2:
				edited[i] = strings.NewReplacer("1", "2", "yes", "no").Replace(edited[i])
			case 3:
				edited = slices.Insert(edited, i, "# note\n")
			}
			text := []byte(strings.Join(edited, ""))
			want, wantErr := config.Parse("x.ini", text)
			got, err := parser.Parse("x.ini", text)
			require.Equal(t, wantErr, err, "seed %d", seed)
			require.Equal(t, want, got, "seed %d", seed)
			if err == nil {
				valid++
				lines = edited
			}
		}
		require.Greater(t, valid, 30)
	}
}

func TestManyFaultsTakeLittleTime(t *testing.T) {
	var b strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&b, "[failure-domain \"d%d\"]\nregion = r%d\n", i/2, i)
	}
	require.Len(t, problems(t, b.String()), 1001)
}

func FuzzParse(f *testing.F) {
	for _, file := range exampleFiles {
		f.Add(readExample(f, file))
	}
	f.Add([]byte("[pool \"\x00\"]\nkind = \"\"\"\n"))
	f.Add([]byte("\"=\n- = 1\n[]\n[a.b \"c\"]\nx = %(y)s"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := config.Parse("fuzz.ini", text)
		if (set == nil) == (err == nil) {
			t.Fatal("either a set or an error")
		}
		if err == nil && len(config.Check(set)) > 0 {
			t.Fatal("a parsed set has faults")
		}
	})
}
