package once_test

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
)

// fakeStore is the object API of one partition: the head and its segments.
type fakeStore struct {
	version  uint64
	head     once.Head
	segments map[uint64][]once.Entry
	down     bool
	// loseAnswer makes the next write take effect and report a failure, as if its answer were lost.
	loseAnswer bool
}

func (s *fakeStore) call(e once.Effect) once.StoreAnswer {
	if s.down {
		return once.StoreFailed{}
	}
	switch e := e.(type) {
	case once.ReadHead:
		if s.version == 0 {
			return once.HeadRead{}
		}
		head := s.head
		return once.HeadRead{Version: s.version, Head: &head}
	case once.ReadSegment:
		entries, ok := s.segments[e.Number]
		return once.SegmentRead{Number: e.Number, Entries: entries, Missing: !ok}
	case once.WriteSegment:
		s.segments[e.Number] = append([]once.Entry(nil), e.Entries...)
		return once.Written{}
	case once.DeleteSegment:
		delete(s.segments, e.Number)
		return once.SegmentDeleted(e)
	case once.WriteHead:
		return s.write(e)
	}
	return nil
}

func (s *fakeStore) write(e once.WriteHead) once.StoreAnswer {
	if e.Version != s.version {
		return once.StoreFailed{}
	}
	s.version++
	s.head = *e.Head
	s.head.Entries = append([]once.Entry(nil), e.Head.Entries...)
	if s.loseAnswer {
		s.loseAnswer = false
		return once.StoreFailed{}
	}
	return once.Written{Version: s.version}
}

// owner runs a partition against a store and collects its replies.
type owner struct {
	*once.Partition
	store    *fakeStore
	now      time.Time
	view     *member.View
	replies  map[uint64]once.Reply
	recorded map[uint64]bool
	ticket   uint64
}

var (
	start  = time.Unix(1000, 0)
	entry1 = once.Holder{Instance: "entry-1", Incarnation: 1}
	entry2 = once.Holder{Instance: "entry-2", Incarnation: 1}
)

func newOwner(t testing.TB, name string, s *fakeStore, limits once.Limits) *owner {
	t.Helper()
	partition, err := charts.Load("partition", nil)
	if err != nil {
		t.Fatal(err)
	}
	claim, err := charts.Load("claim", nil)
	if err != nil {
		t.Fatal(err)
	}
	bound, err := once.BindCharts(partition, claim)
	if err != nil {
		t.Fatal(err)
	}
	view := &member.View{Live: []member.Instance{{Name: "entry-1", Incarnation: 1}, {Name: "entry-2", Incarnation: 1}}}
	return &owner{
		Partition: bound.New(start, once.Holder{Instance: name, Incarnation: 1}, limits, once.NewHolderTracker(30*time.Second)),
		store:     s, now: start, view: view, replies: map[uint64]once.Reply{}, recorded: map[uint64]bool{},
	}
}

var testLimits = once.Limits{MaxHeadEntries: 100, MaxPending: 100, AnswerCacheBytes: 1 << 20}

func newStore() *fakeStore { return &fakeStore{segments: map[uint64][]once.Entry{}} }

// runEffects carries out effects until there are none.
func (o *owner) runEffects() {
	for {
		effects := o.Effects()
		if len(effects) == 0 {
			return
		}
		for _, e := range effects {
			switch e := e.(type) {
			case once.Reply:
				o.replies[e.Ticket] = e
			case once.Confirmation:
				o.recorded[e.Ticket] = e.Recorded
			default:
				o.HandleStoreAnswer(o.now, o.view, o.store.call(e))
			}
		}
	}
}

// advance advances the time in small steps.
func (o *owner) advance(d time.Duration) {
	step := min(d, 10*time.Millisecond)
	if d > time.Minute {
		step = time.Second
	}
	for ; d > 0; d -= step {
		o.now = o.now.Add(step)
		o.Tick(o.now, o.view)
		o.runEffects()
	}
}

func digest(n byte) once.Digest { return once.Digest{n} }

func (o *owner) claim(d once.Digest, check byte, h once.Holder, attempt uint64) once.Reply {
	o.ticket++
	ticket := o.ticket
	o.Claim(o.now, o.view, once.ClaimRequest{Digest: d, Check: once.ContentDigest{check}, Window: time.Hour, Holder: h, Attempt: attempt, Ticket: ticket})
	o.runEffects()
	o.advance(100 * time.Millisecond)
	return o.replies[ticket]
}

func (o *owner) settle(d once.Digest, h once.Holder, attempt uint64, outcome once.Settlement, answer *call.Answer) bool {
	o.ticket++
	ticket := o.ticket
	o.Settle(o.now, o.view, once.SettleRequest{
		Digest: d, Check: once.ContentDigest{1}, Window: time.Hour, Holder: h, Attempt: attempt, Settlement: outcome, Answer: answer, Ticket: ticket,
	})
	o.runEffects()
	o.advance(2 * time.Second)
	return o.recorded[ticket]
}

// Guards against a wrong verdict for a resend in any state of its claim.
func TestResendInEachState(t *testing.T) {
	kept := &call.Answer{Status: 200, Body: []byte("crew 7")}
	tests := []struct {
		name   string
		before func(*owner)
		check  byte
		want   once.Verdict
	}{
		{"free", func(o *owner) {}, 1, once.Granted},
		{"claimed", func(o *owner) { o.claim(digest(1), 1, entry1, 1) }, 1, once.InProgress},
		{"claimed by an instance that is gone", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.view = &member.View{Live: o.view.Live[1:]}
			o.claim(digest(1), 1, entry2, 1)
			o.advance(31 * time.Second)
		}, 1, once.OutcomeUnknown},
		{"claimed by an instance that has just left", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.view = &member.View{Live: o.view.Live[1:]}
			o.claim(digest(1), 1, entry2, 1)
		}, 1, once.InProgress},
		{"claimed by an earlier process of the instance", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.view = &member.View{Live: []member.Instance{{Name: "entry-1", Incarnation: 2}, o.view.Live[1]}}
		}, 1, once.OutcomeUnknown},
		{"answered", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 1, once.Answered, kept)
		}, 1, once.AlreadyAnswered},
		{"unknown", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 1, once.Unknown, nil)
		}, 1, once.OutcomeUnknown},
		{"released", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 1, once.Released, nil)
		}, 1, once.Granted},
		{"released by another attempt", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 2, once.Released, nil)
		}, 1, once.InProgress},
		{"another request under the key", func(o *owner) { o.claim(digest(1), 1, entry1, 1) }, 2, once.KeyReused},
		{"another request under an answered key", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 1, once.Answered, kept)
		}, 2, once.KeyReused},
		{"window has ended", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 1, once.Answered, kept)
			o.advance(61 * time.Minute)
		}, 1, once.Granted},
		{"window has not ended", func(o *owner) {
			o.claim(digest(1), 1, entry1, 1)
			o.settle(digest(1), entry1, 1, once.Answered, kept)
			o.advance(59 * time.Minute)
		}, 1, once.AlreadyAnswered},
		{"object API is down", func(o *owner) {
			o.claim(digest(2), 1, entry1, 1)
			o.store.down = true
		}, 1, once.StoreUnavailable},
		{"answer of the write is lost", func(o *owner) {
			o.claim(digest(2), 1, entry1, 1)
			o.store.loseAnswer = true
		}, 1, once.Granted},
		{"another instance has taken over", func(o *owner) {
			o.claim(digest(2), 1, entry1, 1)
			o.store.version++
			o.store.head.Owner.Instance = "entry-9"
		}, 1, once.StoreUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(t, "entry-1", newStore(), testLimits)
			test.before(o)
			reply := o.claim(digest(1), test.check, entry2, 7)
			if reply.Verdict != test.want {
				t.Errorf("verdict %d, want %d", reply.Verdict, test.want)
			}
			if test.want == once.AlreadyAnswered && reply.Answer != kept {
				t.Error("the resend did not get the cached answer")
			}
		})
	}
}

// Guards against a claim that arrives after its own release and is granted. No attempt would ever settle it.
func TestReleasedAttemptIsNotGranted(t *testing.T) {
	o := newOwner(t, "entry-1", newStore(), testLimits)
	if !o.settle(digest(1), entry1, 5, once.Released, nil) {
		t.Error("the release was not confirmed")
	}
	if v := o.claim(digest(1), 1, entry1, 5).Verdict; v != once.Refused {
		t.Errorf("verdict %d for a released attempt", v)
	}
	if v := o.claim(digest(1), 1, entry1, 6).Verdict; v != once.Granted {
		t.Errorf("verdict %d for the next attempt", v)
	}
}

// Guards against a release that is confirmed before it is committed.
func TestReleaseIsConfirmedAfterItsCommit(t *testing.T) {
	o := newOwner(t, "entry-1", newStore(), testLimits)
	o.claim(digest(1), 1, entry1, 1)
	o.store.down = true
	if o.settle(digest(1), entry1, 1, once.Released, nil) {
		t.Error("the release was confirmed while the object API was down")
	}
	o.store.down = false
	if o.advance(5 * time.Second); !o.recorded[o.ticket] {
		t.Error("the release was not confirmed after the outage")
	}
}

// Guards against a confirmed settlement that the next owner does not load, and against claims that are lost when the head
// is sealed or an expired segment is deleted.
func TestNextOwnerKnowsAllClaims(t *testing.T) {
	s := newStore()
	first := newOwner(t, "entry-1", s, once.Limits{MaxHeadEntries: 5, MaxPending: 100, AnswerCacheBytes: 1 << 20})
	for n := range byte(30) {
		first.claim(digest(n), 1, entry1, uint64(n))
		if n%3 == 0 && !first.settle(digest(n), entry1, uint64(n), once.Answered, nil) {
			t.Fatalf("settlement %d was not confirmed", n)
		}
	}
	if len(s.segments) < 3 {
		t.Errorf("only %d segments were sealed", len(s.segments))
	}
	second := newOwner(t, "entry-2", s, testLimits)
	for n := range byte(30) {
		want := once.InProgress
		if n%3 == 0 {
			want = once.AlreadyAnswered
		}
		if v := second.claim(digest(n), 1, entry2, uint64(n)).Verdict; v != want {
			t.Errorf("claim %d: verdict %d, want %d", n, v, want)
		}
	}
	if v := first.claim(digest(99), 1, entry1, 99).Verdict; v == once.Granted {
		t.Error("the earlier owner granted a claim after it was replaced")
	}
	second.advance(2 * time.Hour)
	second.claim(digest(100), 1, entry2, 100)
	second.advance(2 * time.Minute)
	if _, claims := second.State(); len(s.segments) > 0 || claims > 1 {
		t.Errorf("%d segments and %d claims are kept after the window", len(s.segments), claims)
	}
}

// Guards against a claim that expires early because the clock of a later owner runs ahead.
func TestWindowSurvivesTakeover(t *testing.T) {
	s := newStore()
	first := newOwner(t, "entry-1", s, testLimits)
	first.claim(digest(1), 1, entry1, 1)
	first.settle(digest(1), entry1, 1, once.Unknown, nil)
	second := newOwner(t, "entry-2", s, testLimits)
	second.now = start.Add(240 * time.Hour) // a wall clock that differs by days
	if v := second.claim(digest(1), 1, entry2, 1).Verdict; v != once.OutcomeUnknown {
		t.Errorf("verdict %d right after the takeover", v)
	}
}

// Guards against an answer cache that grows without bound.
func TestKeptAnswersAreBounded(t *testing.T) {
	o := newOwner(t, "entry-1", newStore(), once.Limits{MaxHeadEntries: 100, MaxPending: 100, AnswerCacheBytes: 10_000})
	for n := range byte(20) {
		o.claim(digest(n), 1, entry1, uint64(n))
		o.settle(digest(n), entry1, uint64(n), once.Answered, &call.Answer{Status: 200, Body: make([]byte, 1000)})
	}
	kept := 0
	for n := range byte(20) {
		if o.claim(digest(n), 1, entry2, uint64(n)).Answer != nil {
			kept++
		}
	}
	if kept < 5 || kept > 10 {
		t.Errorf("%d answers of 1000 bytes are cached with a limit of 10000 bytes", kept)
	}
}
