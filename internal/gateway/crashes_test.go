package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// quarantineTest is an instance that reads the strikes of a store, with one server. It runs in a synctest bubble.
type quarantineTest struct {
	t        *testing.T
	store    *fakeStore
	director *director
	server   *server
}

func newQuarantineTest(t *testing.T, store *fakeStore) *quarantineTest {
	ctx := t.Context()
	log := slog.New(slog.DiscardHandler)
	crashes, err := newCrashDetector(log)
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}},
		&Settings{Bounds: Bounds{ResendWindow: time.Second}, Timing: DefaultTiming()}, nil, crashes, log,
		newCounters(metrics.NewRegistry()))
	d.snapshot = &Snapshot{View: &fleet.View{Config: &fleet.Config{}, Backends: map[string][]*fleet.Backend{}}}
	_, b := newTestBoard(t, store)
	b.onStrike = func(s quarantine.Strike, withdrawn bool) {
		_ = d.inbox.Send(ctx, strikeUpdate{strike: s, withdrawn: withdrawn})
	}
	b.onTrial = func(trial quarantine.Trial) { _ = d.inbox.Send(ctx, trialUpdate{trial: trial}) }
	g := &Gateway{director: d, schema: fakeSchema{}, store: store, log: log}
	d.claim = g.createClaim
	go func() { _ = d.run(ctx) }()
	go func() { _ = b.run(ctx) }()
	go func() { _ = b.source.feeds[objectapi.Strikes].run(ctx) }()
	go func() { _ = g.storeStrikes(ctx) }()
	synctest.Wait()
	entry := &fleet.Backend{ID: "i-9", Service: "s", Slots: 3, Place: d.self.Place}
	s := &server{entry: entry, roundTrip: assumedRTTZone, score: outlier.NewScore()}
	s.applyCheck(time.Now(), backend.Result{Fate: call.Answered, Answer: &call.Answer{Status: 200}, LoadKnown: true, Slots: 3, Slowdown: 1})
	d.servers[entry.Incarnation()] = s
	d.snapshot.Backends["s"] = []*fleet.Backend{entry}
	return &quarantineTest{t: t, store: store, director: d, server: s}
}

// place requests a server and returns the grant, or nil if the request is refused.
func (q *quarantineTest) place(f quarantine.Fingerprint) *grant {
	q.t.Helper()
	replies := make(chan any, 1)
	now := time.Now()
	q.server.report.at = now // a recent report needs no health check
	q.send(placeRequest{service: "s", route: &fleet.Route{Name: "r", LatencyTarget: time.Second}, fingerprint: f, firstCopy: true,
		deadline: now.Add(2 * time.Second), targetAt: now.Add(time.Second), reply: func(m any) { replies <- m }})
	switch m := (<-replies).(type) {
	case *grant:
		return m
	case placeRefusal:
		if m.reason != reasonCrashes {
			q.t.Fatalf("refused: %s", m.reason.text)
		}
	}
	return nil
}

func (q *quarantineTest) send(m any) {
	q.t.Helper()
	if err := q.director.inbox.Send(q.t.Context(), m); err != nil {
		q.t.Fatal(err)
	}
}

// strikesInStore returns the number of objects in the store.
func (q *quarantineTest) strikesInStore() int {
	q.t.Helper()
	time.Sleep(50 * time.Millisecond)
	objects, _, err := q.store.List(q.t.Context(), objectapi.Strikes)
	if err != nil {
		q.t.Fatal(err)
	}
	return len(objects)
}

func putStrikes(store *fakeStore, f quarantine.Fingerprint, at time.Time) {
	for _, name := range []string{"i-1", "i-2"} {
		store.put(objectapi.Strikes, name, quarantine.Strike{Fingerprint: f,
			Crash: quarantine.Crash{Server: quarantine.Server{Service: "s", Name: name}, Incarnation: name, At: at}})
	}
}

// Guards against stored strikes that condemn a request for good at instances that start later (review/4): while all equal
// requests are refused, no answer could withdraw the strikes. One request is let through, and its answer also ends the
// refusal at the other instances and in the store.
func TestStoredStrikesAreWithdrawnAfterTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f := quarantine.Fingerprint{1}
		putStrikes(store, f, time.Now())
		first, second := newQuarantineTest(t, store), newQuarantineTest(t, store)
		time.Sleep(time.Second)
		if first.place(f) != nil || second.place(f) != nil {
			t.Fatal("a request that has just crashed two servers is let through")
		}
		time.Sleep(quarantine.TrialDelay)
		trial := first.place(f)
		if trial == nil {
			t.Fatal("no request is let through as a trial")
		}
		if first.place(f) != nil || second.place(f) != nil {
			t.Fatal("a second request is let through during the trial")
		}
		first.send(grantRelease{grant: trial, succeeded: true, result: backend.Result{Fate: call.Answered, Answer: &call.Answer{Status: 200}}})
		if n := first.strikesInStore(); n != 0 {
			t.Errorf("the store has %d strikes and trials after the answer", n)
		}
		time.Sleep(time.Second)
		if first.place(f) == nil || second.place(f) == nil {
			t.Error("the request is still refused after the answer")
		}
	})
}

// Guards against more than one trial in the fleet: each may crash a server.
func TestTrialIsClaimedByOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f := quarantine.Fingerprint{1}
		putStrikes(store, f, time.Now().Add(-time.Minute))
		granted := 0
		var instances []*quarantineTest
		for range 5 {
			instances = append(instances, newQuarantineTest(t, store))
		}
		grants := make(chan *grant)
		for _, i := range instances {
			go func() { grants <- i.place(f) }()
		}
		for range instances {
			if <-grants != nil {
				granted++
			}
		}
		if granted != 1 {
			t.Errorf("%d requests are let through, want 1", granted)
		}
	})
}

// Guards against trials that are used up while the store does not answer, so that a condemned request is refused for long after.
func TestTrialsAreNotUsedUpWhileStoreIsSilent(t *testing.T) {
	for _, failure := range []string{"silent", "refuses"} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			f := quarantine.Fingerprint{1}
			putStrikes(store, f, time.Now().Add(-time.Minute))
			q := newQuarantineTest(t, store)
			time.Sleep(100 * time.Millisecond)
			store.setFailures(map[objectapi.Kind]string{objectapi.Strikes: failure})
			calls := store.calls.Load()
			for range 60 {
				if q.place(f) != nil {
					t.Error("a trial runs without a claim")
				}
				time.Sleep(250 * time.Millisecond)
			}
			if made := store.calls.Load() - calls; made > 40 { // two calls a second
				t.Errorf("%d calls in 20 s", made)
			}
			store.setFailures(nil)
			time.Sleep(trialClaimInterval)
			if q.place(f) == nil {
				t.Error("no request is let through as a trial after the store is back")
			}
		})
	}
}

// Guards against a trial that another crash does not end: the request crashes each server that runs it.
func TestTrialThatCrashesServerConfirmsStrikes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f := quarantine.Fingerprint{1}
		putStrikes(store, f, time.Now().Add(-time.Minute))
		q := newQuarantineTest(t, store)
		q.server.checkInFlight = true // the health check after the crash is given below
		q.send(grantRelease{grant: q.place(f), result: backend.Result{Fate: call.MaybeRun, Err: context.Canceled}})
		q.send(checkResult{server: q.server, result: backend.Result{ConnectionRefused: true}})
		if n := q.strikesInStore(); n != 4 {
			t.Errorf("the store has %d strikes and trials, want 4", n)
		}
		time.Sleep(2 * quarantine.TrialDelay)
		if q.place(f) != nil {
			t.Error("the request is let through again too early")
		}
	})
}

// Guards against the crash of a server that condemns a page of which other servers answer many requests: the strike of another
// instance is withdrawn by one that has just had an answer.
func TestStrikeIsWithdrawnByInstanceWithAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f := quarantine.Fingerprint{1}
		q := newQuarantineTest(t, store)
		q.send(grantRelease{grant: q.place(f), succeeded: true, result: backend.Result{Fate: call.Answered, Answer: &call.Answer{Status: 200}}})
		time.Sleep(time.Second)
		putStrikes(store, f, time.Now())
		time.Sleep(time.Second)
		if n := q.strikesInStore(); n != 0 {
			t.Errorf("the store has %d strikes", n)
		}
		if q.place(f) == nil {
			t.Error("the request is refused")
		}
	})
}
