package session_test

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

var (
	start = time.Unix(1000, 0)
	self  = session.Identity{Instance: "a", Incarnation: 1}
	peers = []member.Instance{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}}
)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func load(t *testing.T) *chart.Chart {
	t.Helper()
	ch, err := charts.Load("session", charts.Params{"session_term": session.Term, "witness_term": session.WitnessTerm})
	if err != nil {
		t.Fatal(err)
	}
	return ch
}

func newHolder(t *testing.T) *session.Holder {
	t.Helper()
	bound, err := session.Bind(load(t))
	if err != nil {
		t.Fatal(err)
	}
	return session.NewHolder(bound, start, self)
}

func nextCall(t *testing.T, h *session.Holder, now time.Time, want session.Verb) session.Op {
	t.Helper()
	op, ok := h.Next(now, peers)
	if !ok || op.Verb != want {
		t.Fatalf("at %v: call %+v, due %v, want verb %v", now.Sub(start), op, ok, want)
	}
	return op
}

// newHeldSession returns a holder whose session was created at time 0 and names both peers as witnesses.
func newHeldSession(t *testing.T) (*session.Holder, session.Op) {
	t.Helper()
	h := newHolder(t)
	h.HandleResult(start, nextCall(t, h, start, session.Read), session.Result{Outcome: session.NotFound})
	op := nextCall(t, h, start, session.Create)
	h.HandleResult(at(0.5), op, session.Result{Outcome: session.Done, Version: 1})
	return h, op
}

func hasAuthority(h *session.Holder, now time.Time) bool {
	h.Tick(now)
	return h.Authority().Valid(now)
}

// Guards against a chart in which authority starts without a renewal, outlasts its timeout, or returns after leaving.
func TestChartGivesAuthorityOnlyByRenewal(t *testing.T) {
	givesAuthority := map[string]bool{"held": true, "extended": true}
	timesOut := map[string]bool{}
	load(t).Walk(func(s chart.Step) {
		if givesAuthority[s.To] && !givesAuthority[s.From] && s.Event != "renewed" {
			t.Errorf("%s gets authority by %s", s.From, s.Event)
		}
		if givesAuthority[s.From] && s.To == "extended" && s.From == "held" && s.Guard != "acks_current" {
			t.Errorf("the session is extended past its term without a guard")
		}
		if givesAuthority[s.From] && s.To == "lapsed" {
			timesOut[s.From] = true
		}
		if (s.From == "leaving" || s.From == "ended") && givesAuthority[s.To] {
			t.Errorf("%s returns to %s by %s", s.From, s.To, s.Event)
		}
		if givesAuthority[s.From] && s.Event == "lost" && s.To != "absent" {
			t.Errorf("%s keeps %s after the session was lost", s.From, s.To)
		}
	})
	if len(timesOut) != len(givesAuthority) {
		t.Errorf("states that time out: %v", timesOut)
	}
}

// Guards against a term that starts at the answer instead of before the renewal was sent.
func TestTermCountsFromBeforeTheWrite(t *testing.T) {
	h, _ := newHeldSession(t)
	if !hasAuthority(h, at(9.99)) || hasAuthority(h, at(10)) {
		t.Errorf("state %s, authority %v", h.State(), h.Authority())
	}
}

// Guards against authority from a write whose answer was lost, and against a term that then starts at the read.
func TestLostAnswerIsReadBack(t *testing.T) {
	h := newHolder(t)
	h.HandleResult(start, nextCall(t, h, start, session.Read), session.Result{Outcome: session.NotFound})
	lost := nextCall(t, h, start, session.Create)
	h.HandleResult(at(1), lost, session.Result{Outcome: session.Unknown})
	if hasAuthority(h, at(1)) {
		t.Fatal("a write of unknown outcome gave authority")
	}
	h.HandleResult(at(2), nextCall(t, h, at(2), session.Read), session.Result{Version: 1, Record: lost.Record})
	if !hasAuthority(h, at(2)) || hasAuthority(h, at(10)) {
		t.Errorf("state %s, authority %v", h.State(), h.Authority())
	}
}

// Guards against a session that is extended past its term although a witness does not answer, and against one that
// ends although all witnesses acknowledge it.
func TestWitnessesExtendTheTerm(t *testing.T) {
	h, _ := newHeldSession(t)
	acknowledge := func(now time.Time, answering int) {
		for i, a := range h.AckRequests(now) {
			if i < answering {
				h.HandleReply(now.Add(100*time.Millisecond), a, session.Reply{Acknowledged: true})
			}
		}
	}
	for s := 5.0; s <= 12; s++ {
		acknowledge(at(s), 2)
	}
	if !hasAuthority(h, at(13.9)) || h.State() != "extended" {
		t.Fatalf("state %s, want extended until 2 s after the last request at 12 s", h.State())
	}
	acknowledge(at(13.5), 1)
	if hasAuthority(h, at(14)) {
		t.Errorf("state %s although a witness does not answer", h.State())
	}
	acknowledge(at(14.5), 2)
	if hasAuthority(h, at(14.6)) {
		t.Error("witnesses revived a lapsed session")
	}
}

// Guards against waiting for a witness that renounced its role, and against extension without any witness.
func TestRenouncedWitnessIsNotNeeded(t *testing.T) {
	h, _ := newHeldSession(t)
	for s := 5.0; s <= 10; s++ {
		for i, a := range h.AckRequests(at(s)) {
			h.HandleReply(at(s), a, session.Reply{Acknowledged: i == 0, Renounced: i == 1})
		}
	}
	if !hasAuthority(h, at(11)) {
		t.Fatalf("state %s", h.State())
	}
	for _, a := range h.AckRequests(at(11)) {
		h.HandleReply(at(11), a, session.Reply{Renounced: true})
	}
	if hasAuthority(h, at(11)) {
		t.Error("the session is extended without any witness")
	}
}

// Guards against an extension by the witnesses of a renewal that may not have taken effect: the stored version names
// other witnesses, which may consent to a fence.
func TestUnknownRenewalNeedsWitnessesOfBothVersions(t *testing.T) {
	h, _ := newHeldSession(t)
	peers = append(peers, member.Instance{Name: "d", Incarnation: 1})
	defer func() { peers = peers[:3] }()
	h.HandleResult(at(4), nextCall(t, h, at(3), session.Update), session.Result{Outcome: session.Unknown})
	for s := 5.0; s <= 11; s++ {
		for _, a := range h.AckRequests(at(s)) {
			h.HandleReply(at(s), a, session.Reply{Acknowledged: a.Witness.Instance != "d"})
		}
	}
	if hasAuthority(h, at(10)) {
		t.Errorf("state %s without the acknowledgement of d", h.State())
	}
}

// Guards against an extension while a renewal of unknown outcome may have left the session without witnesses: any
// instance may then fence it after its term.
func TestRenewalWithoutWitnessesForbidsExtension(t *testing.T) {
	h, _ := newHeldSession(t)
	all := peers
	peers = peers[:1]
	defer func() { peers = all }()
	h.HandleResult(at(4), nextCall(t, h, at(3), session.Update), session.Result{Outcome: session.Unknown})
	for s := 5.0; s <= 11; s++ {
		for _, a := range h.AckRequests(at(s)) {
			h.HandleReply(at(s), a, session.Reply{Acknowledged: true})
		}
	}
	if hasAuthority(h, at(10)) {
		t.Errorf("state %s", h.State())
	}
}

// Guards against a session that ends because a renewal adds a new witness while the object API is down.
func TestFailingRenewalNamesNoNewWitness(t *testing.T) {
	h, _ := newHeldSession(t)
	peers = append(peers, member.Instance{Name: "d", Incarnation: 1})
	defer func() { peers = peers[:3] }()
	for s := 6.0; s <= 12; s++ {
		if op, ok := h.Next(at(s), peers); ok {
			h.HandleResult(at(s), op, session.Result{Outcome: session.Unknown})
		}
		for _, a := range h.AckRequests(at(s)) {
			h.HandleReply(at(s), a, session.Reply{Acknowledged: a.Witness.Instance != "d"})
		}
	}
	if !hasAuthority(h, at(13)) {
		t.Errorf("state %s", h.State())
	}
}

// Guards against a restarted witness that releases a session which its earlier incarnation may have just acknowledged,
// and against one that answers for a later incarnation.
func TestRestartedWitness(t *testing.T) {
	w := session.NewWitness(start, session.Identity{Instance: "b", Incarnation: 5})
	if w.Acknowledge(at(9), "x", 1, 4).Acknowledged {
		t.Error("acknowledged for an earlier incarnation")
	}
	if w.Release(at(2.4), "x", 1, 4) || !w.Release(at(2.5), "x", 1, 4) {
		t.Error("want a release 2.5 s after the restart, when acknowledgements of the earlier incarnation have expired")
	}
	if w.Release(at(9), "x", 1, 6) || w.Release(at(12), "x", 1, 6) {
		t.Error("released for a later incarnation")
	}
}

// Guards against a fence before the holder's authority has certainly expired, for each rule that allows a fence.
func TestFenceWaitsForTermAndWitness(t *testing.T) {
	record := session.Record{Identity: session.Identity{Instance: "x", Incarnation: 7}, Generation: 1,
		Witnesses: []session.Identity{{Instance: "a", Incarnation: 1}, {Instance: "b", Incarnation: 1}}}
	version := uint64(3)
	view := &member.View{Self: peers[0], Live: peers[:1], Listed: map[string]bool{"a": true, "x": true}}
	fences := func(o *session.Observer, w *session.Witness, v *member.View, s float64) bool {
		o.Observe(at(s), version, record)
		actions := o.DueActions(at(s), w, v)
		return len(actions) == 1 && actions[0].Fence
	}
	t.Run("witness", func(t *testing.T) {
		o, w := session.NewObserver(self), session.NewWitness(start, self)
		o.Observe(start, 3, record)
		for s := 1.0; s < 13.5; s++ {
			if fences(o, w, view, s) {
				t.Fatalf("fenced at %v s", s)
			}
		}
		if w.Acknowledge(at(12), "x", 3, 1).Acknowledged {
			t.Error("acknowledged a version that it is about to fence")
		}
		if !fences(o, w, view, 14) {
			t.Error("not fenced 2.5 s after the last possible acknowledgement")
		}
	})
	t.Run("witness with requests", func(t *testing.T) {
		o, w := session.NewObserver(self), session.NewWitness(start, self)
		o.Observe(start, 3, record)
		for s := 10.0; s < 30; s++ {
			if !w.Acknowledge(at(s), "x", 3, 1).Acknowledged || fences(o, w, view, s) {
				t.Fatalf("at %v s: a session in use was fenced or not acknowledged", s)
			}
		}
	})
	t.Run("not a witness", func(t *testing.T) {
		other := session.Identity{Instance: "z", Incarnation: 1}
		o, w := session.NewObserver(other), session.NewWitness(start, other)
		outsiderView := &member.View{Self: member.Instance{Name: "z"}, Listed: map[string]bool{"b": true}}
		o.Observe(start, 3, record)
		if fences(o, w, outsiderView, 60) {
			t.Error("fenced without a release while a witness is listed")
		}
		o.RecordRelease("x", 2)
		if fences(o, w, outsiderView, 62) {
			t.Error("fenced by the release of another version")
		}
		if fences(o, w, &member.View{Self: outsiderView.Self}, 64) {
			t.Error("fenced although the platform's list could not be read")
		}
		if fences(o, w, &member.View{Self: outsiderView.Self, Live: peers[1:2], Listed: map[string]bool{}}, 65) {
			t.Error("fenced although a witness is live and only the platform's list lags")
		}
		if !fences(o, w, &member.View{Self: outsiderView.Self, Listed: map[string]bool{"z": true}}, 68) {
			t.Error("not fenced although the platform lists neither holder nor witness")
		}
		version = 4
		o.Observe(at(70), version, record)
		o.RecordRelease("x", version)
		if fences(o, w, outsiderView, 80) || !fences(o, w, outsiderView, 85) {
			t.Error("the term does not start when the new version is first seen")
		}
		if len(o.DueActions(at(89), w, outsiderView)) > 0 {
			t.Error("fenced a session that is no longer read")
		}
	})
}

// Guards against a restarted instance that replaces the session of an earlier process, which may still run, without a
// fence.
func TestRestartWaitsForFence(t *testing.T) {
	h := newHolder(t)
	old := session.Record{Identity: session.Identity{Instance: "a", Incarnation: 0}, Generation: 4, Sequence: 1}
	h.HandleResult(start, nextCall(t, h, start, session.Read), session.Result{Version: 9, Record: old})
	if op, ok := h.Next(at(0.5), peers); ok {
		t.Fatalf("call %+v for a session of another process", op)
	}
	old.State = session.Fenced
	h.HandleResult(at(1), nextCall(t, h, at(1), session.Read), session.Result{Version: 10, Record: old})
	op := nextCall(t, h, at(1), session.Update)
	if op.Version != 10 || op.Record.Generation != 5 {
		t.Errorf("call %+v, want an update of version 10 with generation 5", op)
	}
}

// Guards against authority after a graceful leave, and against a session that is not renounced but left to expire.
func TestLeaveRenounces(t *testing.T) {
	h, _ := newHeldSession(t)
	h.Leave(at(1))
	if hasAuthority(h, at(1)) {
		t.Error("authority while leaving")
	}
	op := nextCall(t, h, at(1), session.Update)
	h.HandleResult(at(2), op, session.Result{Outcome: session.Unknown})
	h.HandleResult(at(3), nextCall(t, h, at(3), session.Read), session.Result{Version: 2, Record: op.Record})
	if op.Record.State != session.Renounced || !h.Ended() {
		t.Errorf("wrote %+v, state %s", op.Record, h.State())
	}
}
