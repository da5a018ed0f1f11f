package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/era"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// inFleetWithEras runs a test with a running fleet of four instances whose store names eras.
func inFleetWithEras(t *testing.T, test func(f *fleetTest)) {
	inFleetOfEra(t, 1, nil, test)
}

// eraBound is the time in which a change has to be in force after a return of the store: that of the platform, and what the
// instances need to find that the store is back.
const eraBound = 3500 * time.Millisecond

// writeMore makes changes of other kinds in the store.
func writeMore(s *fakeStore, changes int) {
	for n := range changes {
		s.put(objectapi.Strikes, fmt.Sprint("other-", n), map[string]int{"n": n})
	}
}

// Guards against a version that is never in force, since the revisions that the store has lost are given out again before an instance
// reads: fewer of them, as many, and more.
func TestLostRevisionsAreGivenOutAgain(t *testing.T) {
	for _, lost := range []int{1, 13, 60} {
		for _, madeAgain := range []int{0, 1, lost - 1, lost, lost + 1, lost + 40} {
			t.Run(fmt.Sprintf("%d lost, %d made", lost, madeAgain), func(t *testing.T) {
				inFleetWithEras(t, func(f *fleetTest) {
					before := f.store.takeCopy()
					writeMore(f.store, lost)
					time.Sleep(3 * time.Second)
					f.store.returnFrom(before)
					writeMore(f.store, madeAgain)
					f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
					f.store.put(objectapi.Evacuations, "b", struct{}{})
					f.store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s"})
					time.Sleep(eraBound)
					synctest.Wait()
					for _, i := range f.instances {
						s := i.snapshots.Newest()
						if versionOf(s) != 2 || !s.EvacuatedZones["b"] || len(s.Backends["s"]) != 1 {
							t.Errorf("%s has version %d, zones %v and %d servers", i.self.Name, versionOf(s), s.EvacuatedZones, len(s.Backends["s"]))
						}
					}
				})
			})
		}
	}
}

// Guards against an object that counts as unchanged since its revision is the same number, although its value is another one.
func TestSameRevisionWithAnotherValue(t *testing.T) {
	inFleetWithEras(t, func(f *fleetTest) {
		before := f.store.takeCopy()
		f.store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s", Address: "10.0.0.1:1", StartedAtMs: 1})
		time.Sleep(3 * time.Second)
		f.store.returnFrom(before)
		f.store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s", Address: "10.0.0.2:2", StartedAtMs: 2})
		time.Sleep(eraBound)
		synctest.Wait()
		for _, i := range f.instances {
			if list := i.snapshots.Newest().Backends["s"]; len(list) != 1 || list[0].Address != "10.0.0.2:2" {
				t.Errorf("%s has %+v", i.self.Name, list)
			}
		}
	})
}

// heldState is what an instance has in force.
type heldState struct {
	version uint64
	zones   []string
	servers []string
}

func stateOf(i *fleetInstance) heldState {
	s := i.snapshots.Newest()
	state := heldState{version: versionOf(s), zones: slices.Sorted(maps.Keys(s.EvacuatedZones))}
	for _, entry := range s.Backends["s"] {
		text := entry.ID
		if entry.Draining {
			text += " draining"
		}
		state.servers = append(state.servers, text)
	}
	return state
}

func (s heldState) String() string {
	return fmt.Sprintf("version %d, zones %v, servers %v", s.version, s.zones, s.servers)
}

// Guards against a copy that takes back what was acknowledged: a configuration, an evacuation and its end, a server that drains, one
// that is gone, and one that has registered.
func TestCopyTakesNothingBack(t *testing.T) {
	server := func(sequence uint64, draining bool) fleet.Backend {
		return fleet.Backend{Service: "s", StartedAtMs: 5, Sequence: sequence, Draining: draining}
	}
	inFleetWithEras(t, func(f *fleetTest) {
		s := f.store
		s.put(objectapi.Evacuations, "ended", struct{}{})
		for _, id := range []string{"leaving", "gone", "stays"} {
			s.put(objectapi.Backends, id, server(1, false))
		}
		time.Sleep(3 * time.Second)
		before := s.takeCopy()
		s.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
		s.remove(objectapi.Evacuations, "ended")
		s.put(objectapi.Evacuations, "begun", struct{}{})
		s.put(objectapi.Backends, "leaving", server(2, true))
		s.remove(objectapi.Backends, "gone")
		s.put(objectapi.Backends, "new", server(1, false))
		time.Sleep(3 * time.Second)
		s.returnFrom(before)
		check := func(when string, want heldState) {
			t.Helper()
			synctest.Wait()
			for _, i := range f.instances {
				if state := stateOf(i); state.String() != want.String() {
					t.Errorf("%s: %s has %s, want %s", when, i.self.Name, state, want)
				}
			}
		}
		time.Sleep(1500 * time.Millisecond)
		check("before anything is written again", heldState{version: 2, zones: []string{"begun"},
			servers: []string{"leaving draining", "new", "stays"}})
		time.Sleep(3 * time.Second)
		check("after the grace time of servers", heldState{version: 2, zones: []string{"begun"}, servers: []string{"leaving draining", "stays"}})
		s.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
		s.remove(objectapi.Evacuations, "ended")
		s.put(objectapi.Evacuations, "begun", struct{}{})
		s.put(objectapi.Backends, "leaving", server(3, true))
		s.put(objectapi.Backends, "gone", server(7, false)) // it lives after all
		s.put(objectapi.Backends, "new", server(2, false))
		time.Sleep(eraBound)
		check("after all was written again", heldState{version: 2, zones: []string{"begun"},
			servers: []string{"gone", "leaving draining", "new", "stays"}})
		time.Sleep(time.Minute)
		check("a minute later", heldState{version: 2, zones: []string{"begun"},
			servers: []string{"gone", "leaving draining", "new", "stays"}})
		s.remove(objectapi.Evacuations, "begun")
		s.put(objectapi.Configuration, configObject, fleet.Config{Version: 3})
		time.Sleep(eraBound)
		check("after further changes", heldState{version: 3, servers: []string{"gone", "leaving draining", "new", "stays"}})
	})
}

// Guards against holds without an end: what nobody writes again follows the copy.
func TestHoldsEnd(t *testing.T) {
	inFleetWithEras(t, func(f *fleetTest) {
		f.store.put(objectapi.Evacuations, "ended", struct{}{})
		time.Sleep(3 * time.Second)
		before := f.store.takeCopy()
		f.store.remove(objectapi.Evacuations, "ended")
		f.store.put(objectapi.Evacuations, "begun", struct{}{})
		time.Sleep(3 * time.Second)
		f.store.returnFrom(before)
		time.Sleep(40 * time.Second)
		synctest.Wait()
		for _, i := range f.instances {
			if state := stateOf(i); !slices.Equal(state.zones, []string{"ended"}) {
				t.Errorf("%s has %s, the copy has the zone \"ended\"", i.self.Name, state)
			}
		}
	})
}

// Guards against a process that starts after the return and takes the configuration of the copy, or does not know what the others hold
// against it.
func TestProcessThatStartsAfterReturn(t *testing.T) {
	for _, reads := range []bool{false, true} {
		t.Run(fmt.Sprintf("reads: %t", reads), func(t *testing.T) {
			inFleetWithEras(t, func(f *fleetTest) {
				f.store.put(objectapi.Evacuations, "ended", struct{}{})
				time.Sleep(3 * time.Second)
				before := f.store.takeCopy()
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
				f.store.remove(objectapi.Evacuations, "ended")
				f.store.put(objectapi.Evacuations, "begun", struct{}{})
				time.Sleep(3 * time.Second)
				f.store.returnFrom(before)
				time.Sleep(2 * time.Second)
				restarted := f.instances[3]
				if reads {
					restarted = f.reader()
				}
				restarted.stop()
				restarted.unreachable.Store(true)
				time.Sleep(300 * time.Millisecond)
				restarted.unreachable.Store(false)
				f.start(f.t.Context(), restarted)
				time.Sleep(1500 * time.Millisecond)
				synctest.Wait()
				if state := stateOf(restarted); state.version != 2 || !slices.Equal(state.zones, []string{"begun"}) {
					t.Errorf("the process has %s", state)
				}
				restarted.stop()
			})
		})
	}
}

// Guards against a server that has left and is used after a second return, by a process that started between the two and knew of it
// from its peers only (soak of returns, seed 42037).
func TestProcessBetweenTwoReturns(t *testing.T) {
	inFleetWithEras(t, func(f *fleetTest) {
		f.store.put(objectapi.Evacuations, "ended", struct{}{})
		f.store.put(objectapi.Backends, "left", fleet.Backend{Service: "s", StartedAtMs: 5, Sequence: 1})
		time.Sleep(3 * time.Second)
		before := f.store.takeCopy()
		f.store.remove(objectapi.Evacuations, "ended")
		f.store.put(objectapi.Backends, "left", fleet.Backend{Service: "s", StartedAtMs: 5, Sequence: 2, Draining: true})
		time.Sleep(3 * time.Second)
		f.store.returnFrom(before)
		time.Sleep(2 * time.Second)
		restarted := f.instances[3]
		restarted.stop()
		f.start(f.t.Context(), restarted)
		time.Sleep(1500 * time.Millisecond)
		f.store.returnFrom(before)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if state := stateOf(restarted); len(state.zones) > 0 || len(state.servers) > 0 {
			t.Errorf("the process has %s", state)
		}
		restarted.stop()
	})
}

// Guards against news of the former era that a follower takes for new, and against a follower that hears of the return from a
// peer only and does not follow it.
func TestFollowerHearsOfReturnFromPeer(t *testing.T) {
	inFleetWithEras(t, func(f *fleetTest) {
		reader := f.reader()
		for _, i := range f.instances {
			if i != reader {
				i.store.silence(0, followedKinds...) // they cannot read the store
			}
		}
		before := f.store.takeCopy()
		writeMore(f.store, 20)
		time.Sleep(3 * time.Second)
		f.store.returnFrom(before)
		writeMore(f.store, 20)
		f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
		time.Sleep(eraBound)
		synctest.Wait()
		for _, i := range f.instances {
			if versionOf(i.snapshots.Newest()) != 2 || i.board.restoration.eras.Known() != 2 {
				t.Errorf("%s has version %d and knows era %d", i.self.Name, versionOf(i.snapshots.Newest()), i.board.restoration.eras.Known())
			}
		}
	})
}

// Guards against a second return during the first that leaves kinds of the first one in force.
func TestSecondReturnDuringTheFirst(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			inFleetWithEras(t, func(f *fleetTest) {
				before := f.store.takeCopy()
				writeMore(f.store, 20)
				time.Sleep(3 * time.Second)
				f.store.returnFrom(before)
				writeMore(f.store, 7)
				f.store.put(objectapi.Evacuations, "first", struct{}{})
				time.Sleep(pause)
				f.store.returnFrom(before)
				writeMore(f.store, 20)
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
				time.Sleep(eraBound)
				synctest.Wait()
				for _, i := range f.instances {
					if versionOf(i.snapshots.Newest()) != 2 || i.board.restoration.eras.Known() != 3 {
						t.Errorf("%s has version %d and knows era %d", i.self.Name, versionOf(i.snapshots.Newest()), i.board.restoration.eras.Known())
					}
				}
				time.Sleep(30 * time.Second)
				synctest.Wait()
				for _, i := range f.instances {
					if state := stateOf(i); len(state.zones) > 0 {
						t.Errorf("%s has %s after the holds", i.self.Name, state)
					}
				}
			})
		})
	}
}

// Guards against strikes that a copy takes back at the instances and in the store, against withdrawn ones that it brings back, and
// against a fleet that writes them all at once.
func TestStrikesAreWrittenAgain(t *testing.T) {
	var returned atomic.Bool
	var writes atomic.Int64
	prepare := func(f *fleetTest, i *fleetInstance) {
		i.board.onStrike = func(s quarantine.Strike, withdrawn bool) {
			if name := s.Crash.Server.Name; returned.Load() && withdrawn != (name == "withdrawn") {
				t.Errorf("%s: strike %q, withdrawn: %t", i.self.Name, name, withdrawn)
			}
		}
		i.board.restoration.onRewrite = func(r rewrite) {
			writes.Add(1)
			if r.remove {
				f.store.remove(objectapi.Strikes, r.object.Name)
			} else if err := f.store.Create(context.Background(), objectapi.Strikes, r.object.Name, r.object.Value); err != nil {
				t.Log(i.self.Name, r.object.Name, err)
			}
		}
	}
	inFleetOfEra(t, 1, prepare, func(f *fleetTest) {
		strike := func(name string) quarantine.Strike {
			return quarantine.Strike{Crash: quarantine.Crash{Server: quarantine.Server{Name: name}, At: time.Now()}}
		}
		f.store.put(objectapi.Strikes, "withdrawn", strike("withdrawn"))
		time.Sleep(3 * time.Second)
		before := f.store.takeCopy()
		f.store.remove(objectapi.Strikes, "withdrawn")
		f.store.put(objectapi.Strikes, "lost", strike("lost"))
		f.store.put(objectapi.Strikes, "claim", quarantine.Trial{Number: 1, At: time.Now()})
		time.Sleep(3 * time.Second)
		returned.Store(true)
		f.store.returnFrom(before)
		time.Sleep(2 * era.StrikeHold)
		synctest.Wait()
		objects, _, err := f.store.List(context.Background(), objectapi.Strikes)
		var names []string
		for _, o := range objects {
			names = append(names, o.Name)
		}
		slices.Sort(names)
		if err != nil || !slices.Equal(names, []string{"claim", "lost"}) {
			t.Errorf("the store holds %v, %v", names, err)
		}
		if n := writes.Load(); n > 6 {
			t.Errorf("%d writes for three objects", n)
		}
		for _, i := range f.instances {
			if b := i.board; len(b.strikes) != 1 || len(b.trials) != 1 {
				t.Errorf("%s knows %d strikes and %d trials", i.self.Name, len(b.strikes), len(b.trials))
			}
		}
	})
}

// Guards against an instance that counts as gone since the copy lacks its entry, and that does not write it again.
func TestInstancesRegisterAgain(t *testing.T) {
	var registered [4]atomic.Int64
	var returned atomic.Bool
	prepare := func(f *fleetTest, i *fleetInstance) {
		n := slices.Index(f.instances, i)
		i.board.onUnregistered = func() {
			if returned.Load() && registered[n].Add(1) == 1 {
				f.store.put(objectapi.Instances, i.self.Name, i.self)
			}
		}
	}
	inFleetOfEra(t, 1, prepare, func(f *fleetTest) {
		last := f.instances[3]
		f.store.remove(objectapi.Instances, last.self.Name)
		time.Sleep(time.Second)
		before := f.store.takeCopy()
		f.store.put(objectapi.Instances, last.self.Name, last.self)
		time.Sleep(3 * time.Second)
		returned.Store(true)
		f.store.returnFrom(before)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			for _, i := range f.instances {
				if n := len(i.snapshots.Newest().Instances); n != 4 {
					t.Fatalf("%s knows %d instances", i.self.Name, n)
				}
			}
		}
		for n := range registered {
			if again := registered[n].Load() > 0; again != (n == 3) {
				t.Errorf("%s registers again: %t", f.instances[n].self.Name, again)
			}
		}
	})
}

// Guards against instances of this release and of the one before that do not understand each other's news.
func TestMixedFleetFollowsStore(t *testing.T) {
	for first := range 4 {
		t.Run(fmt.Sprintf("edge-%d is of the release before", first+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetTest(t, 4)
				f.store.era.Store(1)
				f.instances[first].store.hidesEras = true
				f.instances[(first+2)%4].store.hidesEras = true
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for _, i := range f.instances {
					f.start(ctx, i)
					time.Sleep(time.Second)
				}
				time.Sleep(4 * time.Second)
				for version := range uint64(8) {
					f.expectChangeInTime(version+2, fmt.Sprint("z-", version), nil)
				}
				before := f.store.takeCopy()
				writeMore(f.store, 5)
				time.Sleep(3 * time.Second)
				f.store.returnFrom(before)
				writeMore(f.store, 5)
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 20})
				time.Sleep(eraBound)
				synctest.Wait()
				for _, i := range f.instances {
					if v := versionOf(i.snapshots.Newest()); v != 20 && !i.store.hidesEras {
						t.Errorf("%s has version %d", i.self.Name, v)
					}
				}
			})
		})
	}
}

// inFleetOfEra runs a test with a running fleet whose store is in the given era. The first function is called for each board before it
// runs; it may be nil.
func inFleetOfEra(t *testing.T, era uint64, prepare func(*fleetTest, *fleetInstance), test func(f *fleetTest)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetTest(t, 4)
		f.store.era.Store(era)
		if prepare != nil {
			f.prepare = func(i *fleetInstance) { prepare(f, i) }
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, i := range f.instances {
			f.start(ctx, i)
			time.Sleep(time.Second)
		}
		time.Sleep(4 * time.Second)
		test(f)
	})
}

// Guards against an instance that follows a wrong era for good, and against one that goes back to an earlier era for an answer
// that is late.
func TestOddErasOfStore(t *testing.T) {
	for name, report := range map[string]EraReport{
		"missing": {}, "unreadable": {Problem: "odd"}, "huge": {Era: 1 << 60}, "lower, late": {Era: 1, CallBegan: time.Unix(0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			var problems atomic.Int64
			prepare := func(_ *fleetTest, i *fleetInstance) {
				i.board.restoration.onUnreadable = func() { problems.Add(1) }
			}
			inFleetOfEra(t, 3, prepare, func(f *fleetTest) {
				for _, i := range f.instances {
					i.board.reportEra(context.Background(), report)
				}
				f.expectChangeInTime(2, "b", nil)
				for _, i := range f.instances {
					if known := i.board.restoration.eras.Known(); known != 3 {
						t.Errorf("%s knows era %d, want 3", i.self.Name, known)
					}
				}
				if n := problems.Load(); (n > 0) != (name != "lower, late") {
					t.Errorf("%d problems are counted", n)
				}
			})
		})
	}
}

// Guards against changes that are missed for good when one era is taken for too high, as after a wrong header: the store goes on
// with a lower one.
func TestWrongHighEraIsGivenUp(t *testing.T) {
	inFleetOfEra(t, 3, nil, func(f *fleetTest) {
		for _, i := range f.instances {
			i.board.reportEra(context.Background(), EraReport{Era: 40, CallBegan: time.Now()})
		}
		time.Sleep(20 * time.Second)
		f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
		time.Sleep(eraBound)
		synctest.Wait()
		for _, i := range f.instances {
			if versionOf(i.snapshots.Newest()) != 2 {
				t.Errorf("%s is %s, has version %d and knows era %d", i.self.Name, i.board.source.machine.State(),
					versionOf(i.snapshots.Newest()), i.board.restoration.eras.Known())
			}
		}
	})
}

// Guards against answers and news of the former era that arrive after the return and count as new, or keep an instance from
// reading the new one.
func TestLateAnswersOfFormerEra(t *testing.T) {
	for _, late := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			inFleetWithEras(t, func(f *fleetTest) {
				before := f.store.takeCopy()
				f.store.put(objectapi.Backends, "lost", fleet.Backend{Service: "s"})
				writeMore(f.store, 10)
				for _, i := range f.instances {
					i.store.late.Store(int64(late))
				}
				time.Sleep(late + 100*time.Millisecond)
				f.store.returnFrom(before)
				writeMore(f.store, 10)
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
				time.Sleep(late / 2)
				for _, i := range f.instances {
					i.store.late.Store(0)
				}
				time.Sleep(late + 2*eraBound)
				synctest.Wait()
				for _, i := range f.instances {
					s := i.snapshots.Newest()
					if versionOf(s) != 2 || len(s.Backends["s"]) != 0 || i.board.restoration.eras.Known() != 2 {
						t.Errorf("%s has version %d and servers %v in era %d", i.self.Name, versionOf(s), s.Backends["s"],
							i.board.restoration.eras.Known())
					}
				}
			})
		})
	}
}

// Guards against a burst of calls when the store returns from a copy, in which all instances list all kinds.
func TestCallsOfReturn(t *testing.T) {
	for _, size := range []int{15, 110} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetTest(t, size)
				f.store.era.Store(1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for _, i := range f.instances {
					f.start(ctx, i)
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				callsIn := func(d time.Duration) int64 {
					began := f.store.calls.Load()
					time.Sleep(d)
					synctest.Wait()
					return f.store.calls.Load() - began
				}
				calm := callsIn(10 * time.Second)
				before := f.store.takeCopy()
				writeMore(f.store, 5)
				time.Sleep(5 * time.Second)
				f.store.returnFrom(before)
				returned := callsIn(10 * time.Second)
				t.Logf("%d calls in 10 s without a return, %d with one", calm, returned)
				if burst := int64(size * len(followedKinds)); returned >= burst {
					t.Errorf("%d calls in the 10 s after a return, %d without one; %d if all instances list all kinds", returned, calm, burst)
				}
			})
		})
	}
}
