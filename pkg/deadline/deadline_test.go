package deadline_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/daisyhatch/daisyhatch/pkg/deadline"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func need(t *rapid.T) deadline.Need {
	d := rapid.Int64Range(0, int64(2*time.Second))
	typical := time.Duration(d.Draw(t, "typical"))
	return deadline.Need{
		Minimum: time.Duration(d.Draw(t, "minimum")) / 4,
		Typical: typical,
		High:    typical + time.Duration(d.Draw(t, "high")),
	}
}

// TestShareLeavesLaterStepsTheirMinimum checks that a share always leaves the later steps their configured minimum.
func TestShareLeavesLaterStepsTheirMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		own, later := need(t), rapid.SliceOfN(rapid.Custom(need), 0, 5).Draw(t, "behind")
		end := now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "left")))
		s := deadline.Of(now, end, own, later)
		var minimums time.Duration
		for _, n := range later {
			minimums += n.Minimum
		}
		require.Equal(t, end.Add(-minimums), s.Cutoff)
		require.False(t, s.Target.After(s.Cutoff))
		if len(later) == 0 {
			require.Equal(t, end, s.Target)
		}
	})
}

// TestTimeIsSharedInProportionToNeed checks that both surplus time and a shortage are divided in proportion to the needs.
func TestTimeIsSharedInProportionToNeed(t *testing.T) {
	now := time.Unix(0, 0)
	own := deadline.Need{Typical: 100 * time.Millisecond, High: 200 * time.Millisecond}
	later := []deadline.Need{{Typical: 400 * time.Millisecond, High: 800 * time.Millisecond}}
	s := deadline.Of(now, now.Add(5*time.Second), own, later)
	require.Equal(t, now.Add(time.Second), s.Target)
	s = deadline.Of(now, now.Add(500*time.Millisecond), own, later)
	require.Equal(t, now.Add(100*time.Millisecond), s.Target, "a shortage is divided in proportion to the needs")
}

func TestMeetable(t *testing.T) {
	now := time.Unix(0, 0)
	steps := []deadline.Need{{Minimum: 2 * time.Second}, {Typical: time.Second, Minimum: time.Millisecond}}
	require.True(t, deadline.Meetable(now, now.Add(3*time.Second), steps))
	require.False(t, deadline.Meetable(now, now.Add(3*time.Second-1), steps))
}
