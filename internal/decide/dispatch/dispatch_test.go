package dispatch

import (
	"math/rand/v2"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Guards against a route that is selected by its position in the configuration instead of by the longest prefix, and
// against a route of another host.
func TestMatchTakesLongestPrefixOfHost(t *testing.T) {
	table := NewTable(&fleet.Config{Routes: []fleet.Route{
		{Name: "all", Host: "a.example", Prefix: "/"}, {Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "shallow", Host: "a.example", Prefix: "/x/"}, {Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for path, want := range map[string]string{"/x/y/z/": "deep", "/x/z": "shallow", "/x": "all", "/x/y": "shallow"} {
		if r, ok := table.Match("A.example", path); !ok || r.Name != want {
			t.Errorf("%s goes to %v, want %s", path, r, want)
		}
	}
	if r, ok := table.Match("c.example", "/"); ok {
		t.Errorf("an unknown host goes to %s", r.Name)
	}
	if _, ok := table.Match("b.example", "/"); ok {
		t.Error("a path that no route matches got a route")
	}
}

// Guards against traffic shares that do not follow the weights. The platform tolerates a deviation of 0.1.
func TestPickPartFollowsWeights(t *testing.T) {
	r := &fleet.Route{Shares: []fleet.ServiceShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}}
	rnd := rand.New(rand.NewPCG(1, 2))
	const draws = 10000
	counts := map[string]int{}
	for range draws {
		counts[PickService(r, rnd.Float64())]++
	}
	if share := float64(counts["b"]) / draws; share < 0.08 || share > 0.12 || counts["none"] > 0 {
		t.Errorf("shares are %v", counts)
	}
}
