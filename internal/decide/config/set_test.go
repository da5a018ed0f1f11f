package config_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/config"
)

func init() {
	_ = flag.Set("rapid.seed", "1") // every run generates the same values
	_ = flag.Set("rapid.nofailfile", "true")
}

var now = time.Unix(1_700_000_000, 0)

func newSet(t testing.TB) *config.Set {
	ch, err := charts.Load("document", nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.New(ch)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var intake = config.Key{Kind: "services", Name: "intake"}

func valid(version uint64) config.Offer {
	return config.Offer{Key: intake, Version: version, Value: fmt.Append(nil, "value ", version), Content: version}
}

func invalid(version uint64) config.Offer {
	o := valid(version)
	o.Content, o.Invalid = nil, errors.New("slots missing")
	return o
}

func deleted(version uint64) config.Offer {
	return config.Offer{Key: intake, Version: version, Deleted: true}
}

func otherContent(version uint64) config.Offer {
	o := valid(version)
	o.Value = []byte("another value")
	return o
}

// versionInForce returns the version of intake in force, or zero.
func versionInForce(s *config.Set) uint64 {
	var version uint64
	s.InForce(intake.Kind, func(o *config.Offer) { version = o.Version })
	return version
}

// Guards against a version in force that decreases, an invalid version that is applied or that removes the one in force,
// and a deletion that an older copy reverts.
func TestOfferedVersions(t *testing.T) {
	tests := []struct {
		name     string
		offers   []config.Offer
		verdict  config.Verdict
		inForce  uint64
		rejected uint64
	}{
		{"first", []config.Offer{valid(3)}, config.Applied, 3, 0},
		{"later", []config.Offer{valid(3), valid(5)}, config.Applied, 5, 0},
		{"older read", []config.Offer{valid(5), valid(3)}, config.Older, 5, 0},
		{"older deletion", []config.Offer{valid(5), deleted(4)}, config.Older, 5, 0},
		{"repeated", []config.Offer{valid(5), valid(5)}, config.Repeated, 5, 0},
		{"same version, other content", []config.Offer{valid(5), otherContent(5)}, config.Conflicting, 5, 0},
		{"same version, deleted", []config.Offer{valid(5), deleted(5)}, config.Conflicting, 5, 0},
		{"deletion", []config.Offer{valid(5), deleted(6)}, config.Deleted, 0, 0},
		{"copy from a peer after the deletion", []config.Offer{valid(5), deleted(6), valid(5)}, config.Older, 0, 0},
		{"created again", []config.Offer{valid(5), deleted(6), valid(7)}, config.Applied, 7, 0},
		{"invalid", []config.Offer{valid(5), invalid(6)}, config.Rejected, 5, 6},
		{"invalid twice", []config.Offer{valid(5), invalid(6), invalid(6)}, config.Repeated, 5, 6},
		{"invalid first", []config.Offer{invalid(6)}, config.Rejected, 0, 6},
		{"corrected", []config.Offer{valid(5), invalid(6), valid(7)}, config.Applied, 7, 0},
		{"valid below the rejected one", []config.Offer{valid(5), invalid(8), valid(7)}, config.Applied, 7, 8},
		{"invalid below the rejected one", []config.Offer{valid(5), invalid(8), invalid(7)}, config.Older, 5, 8},
		{"deletion below the rejected one", []config.Offer{valid(5), invalid(8), deleted(7)}, config.Deleted, 0, 8},
	}
	for _, c := range tests {
		s := newSet(t)
		var last config.Verdict
		for _, o := range c.offers {
			last = s.Offer(now, o)
		}
		var rejected uint64
		for _, st := range s.Status() {
			rejected = st.Rejected
		}
		if last != c.verdict || versionInForce(s) != c.inForce || rejected != c.rejected {
			t.Errorf("%s: verdict %d, in force %d, rejected %d; want %d, %d, %d", c.name, last, versionInForce(s), rejected, c.verdict, c.inForce, c.rejected)
		}
	}
}

// Guards against a list that deletes documents written after it, a stale list that reverts a later one, and a peer's copy
// that restores a document that the list does not contain.
func TestListedDocuments(t *testing.T) {
	s := newSet(t)
	s.Offer(now, valid(5))
	s.ApplyList(now, intake.Kind, 4, map[string]bool{})
	if versionInForce(s) != 5 {
		t.Fatal("a list of version 4 deleted a document of version 5")
	}
	s.ApplyList(now, intake.Kind, 9, map[string]bool{})
	if versionInForce(s) != 0 {
		t.Fatal("a list of version 9 without the document left it in force")
	}
	s.ApplyList(now, intake.Kind, 6, map[string]bool{intake.Name: true})
	if v := s.Offer(now, valid(8)); v != config.Older || versionInForce(s) != 0 {
		t.Fatalf("a copy of version 8, offered after the list of version 9 without the document, has verdict %d", v)
	}
	fresh := newSet(t)
	fresh.ApplyList(now, intake.Kind, 9, map[string]bool{})
	if v := fresh.Offer(now, valid(8)); v != config.Older {
		t.Fatalf("a copy of version 8, offered for an unknown document after the list of version 9, has verdict %d", v)
	}
	if v := fresh.Offer(now, valid(10)); v != config.Applied {
		t.Fatalf("a new document was not applied: verdict %d", v)
	}
}

// Guards against a peer that does not receive documents that it lacks, or receives a deletion of a document it never had.
func TestNewerForPeer(t *testing.T) {
	s := newSet(t)
	s.Offer(now, valid(5))
	s.Offer(now, config.Offer{Key: config.Key{Kind: "services", Name: "gone"}, Version: 4, Deleted: true})
	s.ApplyList(now, "services", 9, map[string]bool{"intake": true})
	names := func(have ...config.DocumentVersion) (list string) {
		for _, o := range s.Newer(have, 1<<20) {
			list += fmt.Sprintf("%s:%d:%t ", o.Name, o.Version, o.Deleted)
		}
		return list
	}
	gone := config.Key{Kind: "services", Name: "gone"}
	unknown := config.Key{Kind: "services", Name: "unknown"}
	for want, have := range map[string][]config.DocumentVersion{
		"intake:5:false ":                nil,
		"":                               {{Key: intake, Version: 5}},
		"gone:4:true intake:5:false ":    {{Key: intake, Version: 4}, {Key: gone, Version: 3}},
		"intake:5:false unknown:9:true ": {{Key: unknown, Version: 3}},
	} {
		if got := names(have...); got != want {
			t.Errorf("a peer with %v gets %q, want %q", have, got, want)
		}
	}
}

// Guards against a result that depends on the order in which versions are offered, and against a version in force that
// decreases in between.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		offers := rapid.SliceOfNDistinct(rapid.Custom(func(rt *rapid.T) config.Offer {
			version := rapid.Uint64Range(1, 30).Draw(rt, "version")
			return []func(uint64) config.Offer{valid, invalid, deleted}[rapid.IntRange(0, 2).Draw(rt, "kind")](version)
		}), 1, 20, func(o config.Offer) uint64 { return o.Version }).Draw(rt, "offers")
		var wantVersion uint64 // the version that must be in force at the end; zero for none
		var highestValid uint64
		for _, o := range offers {
			if o.Invalid == nil && o.Version > highestValid {
				highestValid, wantVersion = o.Version, o.Version
				if o.Deleted {
					wantVersion = 0
				}
			}
		}
		for _, order := range [][]config.Offer{offers, rapid.Permutation(offers).Draw(rt, "order")} {
			s := newSet(t)
			var floor uint64
			for _, o := range order {
				s.Offer(now, o)
				if v := versionInForce(s); v != 0 && v < floor {
					rt.Fatalf("version in force decreased from %d to %d", floor, v)
				}
				floor = max(floor, versionInForce(s))
			}
			if versionInForce(s) != wantVersion {
				rt.Fatalf("version %d is in force, want %d", versionInForce(s), wantVersion)
			}
		}
	})
}

// Guards against digests that differ although the same documents are in force, or are equal for different documents.
func TestDigest(t *testing.T) {
	a, b, c := newSet(t), newSet(t), newSet(t)
	a.Offer(now, valid(3))
	a.Offer(now, valid(5))
	b.Offer(now, valid(5))
	gone := config.Key{Kind: "services", Name: "gone"}
	b.Offer(now, config.Offer{Key: gone, Version: 2, Value: []byte("x")})
	if a.Digest() == b.Digest() {
		t.Error("digests are equal although one instance has one more document")
	}
	b.Offer(now, config.Offer{Key: gone, Version: 7, Deleted: true})
	if a.Digest() != b.Digest() {
		t.Error("digests differ although the same documents are in force")
	}
	if c.Digest() == 0 || c.Digest() == a.Digest() {
		t.Errorf("digest of an empty set is %d", c.Digest())
	}
}

// BenchmarkOffer measures a change of one document in a set of 190 services and their backends, the target size.
func BenchmarkOffer(b *testing.B) {
	s := newSet(b)
	for i := range 190 {
		for _, kind := range []string{"services", "backends"} {
			s.Offer(now, config.Offer{Key: config.Key{Kind: kind, Name: fmt.Sprint(i)}, Version: uint64(i + 1), Value: make([]byte, 2048)})
		}
	}
	version := uint64(1000)
	value := make([]byte, 2048)
	for b.Loop() {
		version++
		s.Offer(now, config.Offer{Key: intake, Version: version, Value: value})
		_ = s.Digest()
	}
}
