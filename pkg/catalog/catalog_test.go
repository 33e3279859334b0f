package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validSet() *Set {
	return &Set{
		Version: 3,
		Services: map[string]*Service{
			"desk":   {Name: "desk"},
			"encode": {Name: "encode", Batch: &Batch{Slots: 1, Size: 8}},
		},
		Routes: []*Route{
			{Name: "r", Host: "h", PathPrefix: "/a/", Timeout: time.Second, Split: []Share{{"desk", 9}, {"encode", 1}}},
			{Name: "deep", Host: "h", PathPrefix: "/a/b/", Timeout: time.Second, Split: []Share{{"desk", 1}},
				Stages: []Stage{{Service: "encode"}, {Service: "encode", After: []int{0}}}},
		},
		Organisations: []*Organisation{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p", Keys: []string{"k3"}}},
	}
}

func TestValidSetMatchesByLongestPrefixAndKey(t *testing.T) {
	s := validSet()
	require.NoError(t, s.Check())
	require.Equal(t, "deep", s.Match("h", "/a/b/c").Name)
	require.Equal(t, "r", s.Match("h", "/a/x").Name)
	require.Nil(t, s.Match("h", "/a"))
	require.Nil(t, s.Match("other", "/a/x"))
	require.Equal(t, "o", s.Organisation("k2").Name)
	require.Nil(t, s.Organisation("k4"))
	require.Nil(t, s.Organisation(""))
}

// A set without organisations needs keys, unless it says that there is no list of them.
func TestSetNeedsKeysUnlessItSaysOtherwise(t *testing.T) {
	s := validSet()
	require.NoError(t, s.Check())
	require.True(t, s.KeysNeeded())
	require.Equal(t, 3, s.KeyCount())
	s.Organisations = nil
	require.NoError(t, s.Check())
	require.True(t, s.KeysNeeded())
	require.Zero(t, s.KeyCount())
	s.Keyless = true
	require.NoError(t, s.Check())
	require.False(t, s.KeysNeeded())
}

func TestCheckNamesTheFaultOfAnInvalidSet(t *testing.T) {
	cases := map[string]struct {
		mutate  func(s *Set)
		wantErr string
	}{
		"unknown service": {func(s *Set) { s.Routes[0].Split[0].Service = "nobody" }, `unknown service "nobody"`},
		"unknown stage":   {func(s *Set) { s.Routes[1].Stages[0].Service = "nobody" }, `unknown service "nobody"`},
		"stage on a plain service": {
			func(s *Set) { s.Routes[1].Stages[0].Service = "desk" }, "runs no stages",
		},
		"cycle":                      {func(s *Set) { s.Routes[1].Stages[0].After = []int{1} }, "not before it"},
		"same host and prefix":       {func(s *Set) { s.Routes[1].PathPrefix = "/a/" }, "share host"},
		"no weight":                  {func(s *Set) { s.Routes[0].Split = []Share{{"desk", 0}} }, "add up to 0"},
		"no timeout":                 {func(s *Set) { s.Routes[0].Timeout = 0 }, "no timeout"},
		"shared key":                 {func(s *Set) { s.Organisations[1].Keys = []string{"k1"} }, "share a key"},
		"keys of a keyless set":      {func(s *Set) { s.Keyless = true }, "need no key"},
		"no version":                 {func(s *Set) { s.Version = 0 }, "version is missing"},
		"prefix without final slash": {func(s *Set) { s.Routes[0].PathPrefix = "/a" }, "slash"},
		"no pieces per call":         {func(s *Set) { s.Services["encode"].Batch.Size = 0 }, "takes no pieces"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := validSet()
			c.mutate(s)
			err := s.Check()
			require.ErrorIs(t, err, ErrInvalid)
			require.ErrorContains(t, err, c.wantErr)
		})
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := validSet().Routes[0]
	require.Equal(t, "desk", r.Pick(0))
	require.Equal(t, "desk", r.Pick(0.89))
	require.Equal(t, "encode", r.Pick(0.91))
	require.Equal(t, "encode", r.Pick(0.999999))
}
