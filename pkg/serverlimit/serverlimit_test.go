package serverlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A malformed limit must neither stop the VM nor change what is known.
func TestLimitHeaderValues(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   Notice
	}{
		"none":              {nil, Notice{}},
		"whole":             {[]string{"7"}, Notice{Named: true, Rate: 7}},
		"fraction":          {[]string{" 0.25 "}, Notice{Named: true, Rate: 0.25}},
		"zero":              {[]string{"0"}, Notice{Named: true}},
		"huge":              {[]string{"1e300"}, Notice{Named: true, Rate: maxRate}},
		"out of range":      {[]string{"1e999"}, Notice{Named: true, Rate: maxRate}},
		"twice":             {[]string{"5", "3"}, Notice{Named: true, Rate: 3}},
		"one readable":      {[]string{"x", "3", ""}, Notice{Named: true, Rate: 3}},
		"empty":             {[]string{""}, Notice{Malformed: true}},
		"negative":          {[]string{"-1"}, Notice{Malformed: true, Value: "-1"}},
		"out of range, neg": {[]string{"-1e999"}, Notice{Malformed: true, Value: "-1e999"}},
		"not a number":      {[]string{"NaN"}, Notice{Malformed: true, Value: "NaN"}},
		"infinite":          {[]string{"+Inf"}, Notice{Malformed: true, Value: "+Inf"}},
		"comma":             {[]string{"1,5"}, Notice{Malformed: true, Value: "1,5"}},
		"hexadecimal":       {[]string{"0x1p4"}, Notice{Malformed: true, Value: "0x1p4"}},
		"unit":              {[]string{"3/s"}, Notice{Malformed: true, Value: "3/s"}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Parse(c.values)) })
	}
}

func TestLimitAllowsItsRateOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(0, 1000).Draw(t, "rate")}
		require.GreaterOrEqual(t, l.Units(), 1)
		require.LessOrEqual(t, l.Window(), MaxWindow)
		require.GreaterOrEqual(t, l.Window(), window)
		require.LessOrEqual(t, float64(l.Units()), max(l.Rate*l.Window().Seconds(), 1)+0.001)
	})
	require.Equal(t, 4, Limit{Rate: 1}.Units())
	require.Equal(t, 1, Limit{Rate: 0}.Units(), "a server that wants nothing is asked once per window whether that still holds")
}

// Responses overtake each other, reports of other VMs come late, and a server starts again under the same id.
func TestLatestStatementAboutLimitCounts(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	names := func(born int64, rate, s float64) Limit { return Limit{Server: "x", Born: born, Rate: rate, At: at(s)} }
	ends := func(born int64, s float64) Limit { return Limit{Server: "x", Born: born, Ended: true, At: at(s)} }
	for name, c := range map[string]struct {
		statements []Limit
		last       Change
		rate       float64
	}{
		"named":                             {[]Limit{names(1, 2, 0)}, Changed, 2},
		"named again":                       {[]Limit{names(1, 2, 0), names(1, 2, 1)}, Confirmed, 2},
		"lowered":                           {[]Limit{names(1, 2, 0), names(1, 1, 1)}, Changed, 1},
		"an older one comes late":           {[]Limit{names(1, 1, 1), names(1, 2, 0)}, Ignored, 1},
		"ended":                             {[]Limit{names(1, 2, 0), ends(1, 1)}, Changed, 0},
		"ended again":                       {[]Limit{names(1, 2, 0), ends(1, 1), ends(1, 2)}, Ignored, 0},
		"sent before it was named":          {[]Limit{names(1, 2, 1), ends(1, 0.5)}, Ignored, 2},
		"sent just after it was named":      {[]Limit{names(1, 2, 1), ends(1, 1.2)}, Ignored, 2},
		"named anew after the end":          {[]Limit{names(1, 2, 0), ends(1, 1), names(1, 3, 2)}, Changed, 3},
		"an old name arrives after the end": {[]Limit{names(1, 2, 0), ends(1, 2), names(1, 2, 1)}, Ignored, 0},
		"end of what is unknown":            {[]Limit{ends(1, 1)}, Ignored, 0},
		"earlier incarnation":               {[]Limit{names(2, 2, 0), names(1, 1, 5)}, Ignored, 2},
		"later incarnation":                 {[]Limit{names(1, 2, 5), names(2, 1, 0)}, Changed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tr, last := NewTracker(), Ignored
			born := int64(0)
			for _, l := range c.statements {
				last, born = tr.Record(l), max(born, l.Born)
			}
			require.Equal(t, c.last, last)
			l, ok := tr.InForce("x", born)
			require.Equal(t, c.rate > 0, ok)
			if ok {
				require.Equal(t, c.rate, l.Rate)
			}
			_, ok = tr.InForce("x", born+1)
			require.False(t, ok, "another incarnation has not named it")
		})
	}
}

func TestUnconfirmedLimitExpires(t *testing.T) {
	tr, now := NewTracker(), time.Now()
	tr.Record(Limit{Server: "x", Born: 1, Rate: 2, At: now})
	require.Equal(t, 1, tr.Count())
	require.Empty(t, tr.Expire(now.Add(retention-1)))
	require.Len(t, tr.Expire(now.Add(retention)), 1)
	_, ok := tr.InForce("x", 1)
	require.False(t, ok)
}
