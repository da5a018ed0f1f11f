package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// maxTurnsAtOnce is far above the number of turns that a board takes without waiting when many messages arrive together.
const maxTurnsAtOnce = 1000

// boardRun is a board that runs with its feeds until it no longer waits between two turns.
type boardRun struct {
	store     *fakeStore
	snapshots *SnapshotPublisher
	// suspended is how long the machine has been suspended in total, in nanoseconds.
	suspended atomic.Int64
	// spunAt is the time at which the board stopped waiting; zero if it has always waited. It is set before ctx ends.
	spunAt time.Duration
	ctx    context.Context
}

// startBoardRun starts a board. A board that no longer waits would stop the clock of the bubble, so its context is cancelled.
func startBoardRun(t *testing.T, ctx context.Context) *boardRun {
	t.Helper()
	r := &boardRun{store: newFakeStore()}
	snapshots, b := newTestBoard(t, r.store)
	r.snapshots = snapshots
	total := func() time.Duration { return time.Duration(r.suspended.Load()) }
	b.totalSuspension, b.countedSuspension = total, 0
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(ctx)
	start, turnAt, turns := time.Now(), time.Time{}, 0
	b.onDataAge = func(kind objectapi.Kind, _ time.Duration) { // called once in each turn
		if kind != objectapi.Backends || r.ctx.Err() != nil {
			return
		}
		if now := time.Now(); !now.Equal(turnAt) {
			turnAt, turns = now, 0
		}
		if turns++; turns > maxTurnsAtOnce {
			r.spunAt = turnAt.Sub(start)
			cancel()
		}
	}
	for _, f := range b.source.feeds {
		f.totalSuspension = total
		go func() { _ = f.run(r.ctx) }() // it ends with the context
	}
	go func() { _ = b.run(r.ctx) }()         // same
	go func() { _ = b.decoder.run(r.ctx) }() // same
	return r
}

// setSilent makes the store refuse all calls, or answer them again.
func (r *boardRun) setSilent(silent bool) {
	failures := map[objectapi.Kind]string{}
	for _, kind := range followedKinds {
		if silent {
			failures[kind] = "refuses"
		}
	}
	r.store.setFailures(failures)
}

func (r *boardRun) known() []string {
	var names []string
	for _, entry := range r.snapshots.Newest().Backends["s"] {
		names = append(names, entry.ID)
	}
	return names
}

// Guards against an instance that uses a whole core: an entry whose grace time or delay was over, and that its expiry did not
// remove, left the timer of the board at zero for as long as it stayed (review/10).
func TestExpiredEntriesLeaveNoTimer(t *testing.T) {
	const (
		outage = 4 * time.Second
		// afterOutage is longer than the feeds take to find that the store answers again, and shorter than the grace time.
		afterOutage = 1500 * time.Millisecond
	)
	invalid, older := json.RawMessage(`"maintenance"`), fleet.Backend{Service: "s", StartedAtMs: 10}
	for _, c := range []struct {
		name string
		// change is made afterOutage after the end of the outage in which the entry was removed.
		change func(r *boardRun)
		// settled is the time from then until the servers are as in want.
		settled time.Duration
		want    []string
	}{
		{"no further entry", func(*boardRun) {}, 2 * time.Second, nil},
		{"entry that is not valid", func(r *boardRun) { r.store.put(objectapi.Backends, "i-1", invalid) }, time.Second, nil},
		{"entry that is not valid and removed", func(r *boardRun) {
			r.store.put(objectapi.Backends, "i-1", invalid)
			time.Sleep(100 * time.Millisecond)
			r.store.remove(objectapi.Backends, "i-1")
		}, time.Second, nil},
		{"another outage", func(r *boardRun) {
			r.setSilent(true)
			time.Sleep(3 * time.Second)
			r.setSilent(false)
		}, 4 * time.Second, nil},
		{"suspension, which looks like another outage", func(r *boardRun) { r.suspended.Add(int64(3 * time.Second)) }, 4 * time.Second, nil},
		{"older entry", func(r *boardRun) { r.store.put(objectapi.Backends, "i-1", older) }, 2 * time.Second,
			[]string{"i-1"}},
		{"older entry and one that is not valid", func(r *boardRun) {
			r.store.put(objectapi.Backends, "i-1", older)
			time.Sleep(100 * time.Millisecond)
			r.store.put(objectapi.Backends, "i-1", invalid)
		}, time.Second, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := startBoardRun(t, ctx)
				r.store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s", StartedAtMs: 20})
				time.Sleep(2 * time.Second)
				r.setSilent(true)
				time.Sleep(time.Second)
				r.store.remove(objectapi.Backends, "i-1")
				time.Sleep(outage - time.Second)
				r.setSilent(false)
				time.Sleep(afterOutage)
				c.change(r)
				time.Sleep(c.settled)
				if r.ctx.Err() == nil && !slices.Equal(r.known(), c.want) {
					t.Errorf("%v are known %s after the last change, want %v", r.known(), c.settled, c.want)
				}
				time.Sleep(20 * time.Second)
				if r.ctx.Err() != nil {
					t.Errorf("the board no longer waited from %s on", r.spunAt)
				}
			})
		})
	}
}

// boardStep is a change of the store, an end of its answers or both, and the pause before the next step.
type boardStep struct {
	what  string
	id    string
	entry fleet.Backend
	pause time.Duration
}

func drawBoardSteps(t *rapid.T) []boardStep {
	pauses := []time.Duration{0, 50 * time.Millisecond, 700 * time.Millisecond, 1900 * time.Millisecond, 2 * time.Second, 3 * time.Second,
		5 * time.Second}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) boardStep {
		return boardStep{
			what: rapid.SampledFrom([]string{"silence", "answers", "lapse", "put", "put", "invalid", "remove"}).Draw(t, "what"),
			id:   rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "id"),
			entry: fleet.Backend{Service: "s", StartedAtMs: rapid.Int64Range(1, 3).Draw(t, "started"),
				Sequence: rapid.Uint64Range(1, 3).Draw(t, "sequence"), Draining: rapid.Bool().Draw(t, "draining")},
			pause: rapid.SampledFrom(pauses).Draw(t, "pause"),
		}
	}), 5, 40).Draw(t, "steps")
}

// playBoard plays the steps and then a quiet time. It returns what was wrong.
func playBoard(t *testing.T, steps []boardStep) (problem string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := startBoardRun(t, ctx)
		stored := map[string]bool{}
		for _, s := range steps {
			switch s.what {
			case "silence", "answers":
				r.setSilent(s.what == "silence")
			case "lapse":
				r.setSilent(true)
				time.Sleep(3 * time.Second)
				r.store.remove(objectapi.Backends, s.id)
				delete(stored, s.id)
				r.setSilent(false)
			case "put":
				r.store.put(objectapi.Backends, s.id, s.entry)
				stored[s.id] = true
			case "invalid":
				r.store.put(objectapi.Backends, s.id, json.RawMessage(`"maintenance"`))
				delete(stored, s.id)
			case "remove":
				r.store.remove(objectapi.Backends, s.id)
				delete(stored, s.id)
			}
			time.Sleep(s.pause)
		}
		r.setSilent(false)
		time.Sleep(10 * time.Second)
		if r.ctx.Err() != nil {
			problem = fmt.Sprintf("the board no longer waited from %s on", r.spunAt)
			return
		}
		if want := slices.Sorted(maps.Keys(stored)); !slices.Equal(r.known(), want) {
			problem = fmt.Sprintf("%v are known and %v in the store", r.known(), want)
		}
	})
	return problem
}

// Guards against tables of the board that disagree after any order of changes and outages: a timer that stays due, a server
// that is kept for good after its entry has gone, and one that is never used although its entry is in the store.
func TestBoardFollowsStoreAfterAnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if problem := playBoard(t, drawBoardSteps(rt)); problem != "" {
			rt.Fatal(problem)
		}
	})
}
