package claimobject_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fuchsiahub.example/fuchsiahub/internal/claimobject"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
)

func drawHead(t *rapid.T) *once.Head {
	holder := rapid.Custom(func(t *rapid.T) once.Holder {
		return once.Holder{Instance: rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "instance"), Incarnation: rapid.Uint64().Draw(t, "incarnation")}
	})
	h := &once.Head{Owner: holder.Draw(t, "owner"), Sequence: rapid.Uint64().Draw(t, "sequence"), Clock: rapid.Uint64().Draw(t, "clock")}
	for range rapid.IntRange(0, 5).Draw(t, "segments") {
		h.Segments = append(h.Segments, once.SegmentRef{Number: rapid.Uint64().Draw(t, "number"), Expires: rapid.Uint64().Draw(t, "expires")})
	}
	h.Entries = []once.Entry{}
	for range rapid.IntRange(0, 20).Draw(t, "entries") {
		e := once.Entry{
			State: once.StoredState(rapid.IntRange(1, 4).Draw(t, "state")), Holder: holder.Draw(t, "holder"),
			Attempt: rapid.Uint64().Draw(t, "attempt"), Expires: rapid.Uint64().Draw(t, "expiry"),
		}
		copy(e.Digest[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "digest"))
		copy(e.Check[:], rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "check"))
		h.Entries = append(h.Entries, e)
	}
	return h
}

// Guards against claims that change by encoding and decoding, and against truncated objects that are accepted.
func TestHeadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawHead(t)
		value := claimobject.Head(want)
		got, err := claimobject.ReadHead(value)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
		if _, err := claimobject.ReadHead(value[:rapid.IntRange(0, len(value)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a truncated head was accepted")
		}
		entries, err := claimobject.ReadSegment(claimobject.Segment(want.Entries))
		if err != nil || !cmp.Equal(entries, want.Entries) {
			t.Fatalf("segment: %v", err)
		}
	})
}

// Guards against a panic or a large allocation on malformed input.
func TestGarbageDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		garbage := append([]byte{claimobject.Format}, rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")...)
		_, _ = claimobject.ReadHead(garbage)
		_, _ = claimobject.ReadSegment(garbage)
	})
}
