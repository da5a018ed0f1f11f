package once_test

import (
	"fmt"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Guards against an owner outside the home regions, and against different sets of regions that share a partition.
func TestPartitionStaysInItsRegions(t *testing.T) {
	var live []member.Instance
	for n := range 9 {
		live = append(live, member.Instance{Name: fmt.Sprint("entry-", n), Region: []string{"malabar", "kochi", "gulf"}[n%3]})
	}
	view := &member.View{Live: live}
	names := map[string]string{}
	for _, regions := range [][]string{nil, {"malabar"}, {"kochi"}, {"kochi", "malabar"}, {"malabar", "kochi"}} {
		for n := range byte(16) {
			p := once.PartitionIDOf(once.Digest{0, n}, regions, 4)
			owner, ok := p.Owner(view)
			if !ok || !p.Allows(owner.Region) {
				t.Errorf("owner of %s is in %s", p.Name(), owner.Region)
			}
			set := fmt.Sprint(len(regions), p.Regions)
			if known, ok := names[p.Name()]; ok && known != set {
				t.Errorf("%s belongs to %s and to %s", p.Name(), known, set)
			}
			names[p.Name()] = set
		}
	}
	if _, ok := once.PartitionIDOf(once.Digest{}, []string{"travancore"}, 4).Owner(view); ok {
		t.Error("a partition has an owner although no instance is in its regions")
	}
	if len(names) != 16 {
		t.Errorf("%d partitions for 4 sets of regions", len(names))
	}
}

// Guards against requests with different fields that have equal digests, and against a digest that ignores the secret.
func TestDigestSeparatesFields(t *testing.T) {
	seen := map[once.Digest]bool{}
	for _, f := range [][4]string{{"k", "a", "b", "c"}, {"k", "ab", "", "c"}, {"k", "a", "bc", ""}, {"k", "", "ab", "c"}, {"j", "a", "b", "c"}} {
		seen[once.DigestOf([]byte(f[0]), f[1], f[2], f[3])] = true
	}
	if len(seen) != 5 {
		t.Errorf("5 different requests have %d digests", len(seen))
	}
	a, b := &call.Request{Path: "/a", Body: []byte("x")}, &call.Request{Path: "/a", Body: []byte("y")}
	if once.ContentDigestOf([]byte("k"), a) == once.ContentDigestOf([]byte("k"), b) {
		t.Error("requests with different bodies have equal checks")
	}
}

// Guards against a write budget that is divided by too small a number of partitions.
func TestRegionSets(t *testing.T) {
	services := []*document.Service{{
		Routes:  []document.Route{{OnceOnly: true}, {OnceOnly: true, HomeRegions: []string{"kochi", "malabar"}}, {HomeRegions: []string{"gulf"}}},
		Tenants: []document.Tenant{{Name: "t", HomeRegions: []string{"malabar"}}, {Name: "u"}},
	}}
	if n := once.RegionSets(services); n != 3 {
		t.Errorf("%d sets, want all, kochi with malabar, and malabar", n)
	}
}
