package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// feedTest is an instance that reads a store, in a synctest bubble. The store holds version 1 of the configuration.
type feedTest struct {
	t         *testing.T
	store     *fakeStore
	board     *board
	snapshots *SnapshotPublisher
}

func newFeedTest(t *testing.T) *feedTest {
	store := newFakeStore()
	store.put(objectapi.Configuration, configObject, fleet.Config{Version: 1})
	snapshots, b := newTestBoard(t, store)
	return &feedTest{t: t, store: store, board: b, snapshots: snapshots}
}

// start starts the tasks of the instance.
func (f *feedTest) start(ctx context.Context) {
	for _, feed := range f.board.source.feeds {
		go func() { _ = feed.run(ctx) }()
	}
	go func() { _ = f.board.run(ctx) }()
	go func() { _ = f.board.decoder.run(ctx) }()
}

// list returns the objects of a kind, as a peer would pass them on.
func (f *feedTest) list(kind objectapi.Kind) kindUpdate {
	f.t.Helper()
	objects, revision, err := f.store.List(f.t.Context(), kind)
	if err != nil {
		f.t.Fatal(err)
	}
	u := kindUpdate{kind: kind, complete: true, position: revision, asOf: time.Now(), reader: "edge-2"}
	for _, o := range objects {
		u.events = append(u.events, objectapi.Event{Object: o})
	}
	return u
}

// expectChangesInTime changes the configuration and the evacuated zones, and expects both in force within the 2 s that the
// platform allows.
func (f *feedTest) expectChangesInTime() {
	f.t.Helper()
	f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
	f.store.put(objectapi.Evacuations, "a", struct{}{})
	time.Sleep(2 * time.Second)
	f.expectChanges()
}

func (f *feedTest) expectChanges() {
	f.t.Helper()
	s := f.snapshots.Newest()
	if s.Config == nil || s.Config.Version != 2 || !s.EvacuatedZones["a"] {
		f.t.Errorf("the snapshot is %+v", s.View)
	}
}

// Guards against a feed that does not take its assignment because it sits in a call or a wait that began while the store was
// silent: the instance stopped reading and began again, but its feed of configurations read nothing for 8 s, and all instances
// followed it, since its news on servers were recent (Pecos, trouble-3).
func TestFeedTakesAssignmentDuringCallOrWait(t *testing.T) {
	for _, failure := range []string{"silent", "refuses"} {
		for _, silence := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(failure, " for ", silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					f := newFeedTest(t)
					go func() { _ = f.board.decoder.run(ctx) }()
					rare := []objectapi.Kind{objectapi.Configuration, objectapi.Evacuations}
					for _, kind := range rare {
						feed := f.board.source.feeds[kind]
						f.board.applyUpdate(time.Now(), f.list(kind))
						go func() { _ = feed.run(ctx) }()
					}
					go func() {
						for ctx.Err() == nil {
							select {
							case m := <-f.board.inbox.C():
								f.board.handle(time.Now(), m)
							case <-ctx.Done():
							}
						}
					}()
					f.store.setFailures(map[objectapi.Kind]string{objectapi.Configuration: failure, objectapi.Evacuations: failure})
					assign := func(active bool) {
						for _, kind := range rare {
							f.board.source.feeds[kind].setAssignment(assignment{active: active, position: at(f.store.revision.Load())})
						}
					}
					assign(true)
					time.Sleep(silence)
					assign(false)
					time.Sleep(time.Millisecond)
					f.store.setFailures(nil)
					assign(true)
					time.Sleep(time.Millisecond)
					f.expectChangesInTime()
				})
			})
		}
	}
}

// Guards against changes that are never noticed because the store dropped its history while they were made, and the calls for
// changes do not tell of it (review/1): a call for another kind does.
func TestLostHistoryPutsOtherKindsInDoubt(t *testing.T) {
	for _, told := range []objectapi.Kind{objectapi.Backends, objectapi.Configuration} {
		t.Run(string(told), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFeedTest(t)
				f.start(ctx)
				time.Sleep(time.Second)
				f.store.dropChanges(followedKinds...)
				f.store.hideRevision()
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
				f.store.put(objectapi.Evacuations, "a", struct{}{})
				f.store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s"})
				time.Sleep(300 * time.Millisecond)
				f.store.setFailures(map[objectapi.Kind]string{told: "forgot"})
				time.Sleep(paceOf(told, f.board.source.limits.Period).wait + 1700*time.Millisecond)
				f.expectChanges()
				if n := len(f.snapshots.Newest().Backends["s"]); n != 1 {
					t.Errorf("%d servers are known, want 1", n)
				}
			})
		})
	}
}

// Guards against changes that are not noticed for the wait of a call because its answer was lost: the answers for another kind
// show that the store has changed.
func TestUnknownRevisionPutsRareKindsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFeedTest(t)
		f.start(ctx)
		time.Sleep(time.Second)
		f.store.dropChanges(objectapi.Configuration, objectapi.Evacuations)
		f.expectChangesInTime()
	})
}

// Guards against rare kinds that are listed again and again although all changes of the store are known, and against an age of
// the configuration that grows although nothing has changed.
func TestKnownRevisionsKeepRareKindsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFeedTest(t)
		f.start(ctx)
		time.Sleep(time.Second)
		calls := f.store.calls.Load()
		for n := range 20 {
			f.store.put(objectapi.Backends, fmt.Sprint("i-", n), fleet.Backend{Service: "s"})
			time.Sleep(time.Second)
			if age := time.Since(f.snapshots.Newest().ConfigAsOf); age > time.Second {
				t.Errorf("the configuration is %s old", age)
			}
		}
		if made := f.store.calls.Load() - calls; made > 40 { // two calls a second
			t.Errorf("%d calls in 20 s", made)
		}
	})
}

// Guards against an instance that follows a peer whose news of servers is recent and whose configuration is old.
func TestPeerWithOldConfigurationIsNotEnough(t *testing.T) {
	for _, c := range []struct {
		configAge time.Duration
		want      string
	}{{time.Second, "following"}, {5 * time.Second, "reading"}} {
		f := newFeedTest(t)
		b := f.board
		now := time.Now()
		news := func(now time.Time) {
			reply := &peerpb.NewsReply{}
			for kind, age := range map[objectapi.Kind]time.Duration{objectapi.Configuration: c.configAge, objectapi.Evacuations: 0,
				objectapi.Backends: 0} {
				reply.Kinds = append(reply.Kinds, &peerpb.KindNews{Kind: string(kind), Whole: true, Revision: 7, Reader: "edge-2",
					AgeMs: uint32(age.Milliseconds())})
			}
			slices.SortFunc(reply.Kinds, func(x, y *peerpb.KindNews) int { return strings.Compare(y.Kind, x.Kind) })
			b.source.handleResult(now, newsResult{address: "peer", sentAt: now, reply: reply})
		}
		news(now)
		b.source.checkSource(t.Context(), now)
		if state := b.source.machine.State(); state != c.want {
			t.Errorf("with a configuration that is %s old the source is %s, want %s", c.configAge, state, c.want)
		}
		news(now.Add(100 * time.Millisecond))
		if state := b.source.machine.State(); state != c.want {
			t.Errorf("with a configuration that is %s old the source changes to %s", c.configAge, state)
		}
	}
}

// Guards against rare kinds that are listed every second because of a revision that the store never reaches.
func TestUnreachableRevisionIsSettledByList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFeedTest(t)
		f.start(ctx)
		time.Sleep(time.Second)
		u := f.list(objectapi.Backends)
		u.position = at(1 << 40)
		reply := make(chan updateReply, 1)
		u.reply = reply
		if err := f.board.inbox.Send(ctx, u); err != nil {
			t.Fatal(err)
		}
		<-reply
		time.Sleep(3 * time.Second)
		calls := f.store.calls.Load()
		time.Sleep(20 * time.Second)
		if made := f.store.calls.Load() - calls; made > 40 { // two calls a second
			t.Errorf("%d calls in 20 s", made)
		}
		f.expectChangesInTime()
	})
}

// runFeed runs the feed of configurations alone and answers its updates, as the board does. It returns the revisions of the
// updates that complete lists brought.
func (f *feedTest) runFeed(ctx context.Context) (*feed, <-chan uint64) {
	feed, lists := f.board.source.feeds[objectapi.Configuration], make(chan uint64, 100)
	go func() { _ = feed.run(ctx) }()
	go func() {
		for {
			select {
			case m := <-f.board.inbox.C():
				if u, ok := m.(kindUpdate); ok {
					u.reply <- updateReply{known: u.position}
					if u.complete {
						lists <- u.position.Revision
					}
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return feed, lists
}

// Guards against a feed that loses its assignment to a suspicion from before: it reads nothing until the next assignment.
func TestSuspicionDoesNotReplaceAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFeedTest(t)
		feed, lists := f.runFeed(ctx)
		synctest.Wait() // it waits for an assignment
		feed.listAgain("test")
		feed.setAssignment(assignment{active: true})
		time.Sleep(time.Second)
		if len(lists) == 0 {
			t.Errorf("the feed that was told to read waits for %s", feed.status().waitsFor)
		}
	})
}

// Guards against a feed in a backoff that waits again, for up to 7.5 s, when it is told to list its objects at once.
func TestSuspicionEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFeedTest(t)
		f.store.setFailures(map[objectapi.Kind]string{objectapi.Configuration: "refuses"})
		feed, lists := f.runFeed(ctx)
		feed.setAssignment(assignment{active: true})
		time.Sleep(2 * time.Second)
		if waitsFor := feed.status().waitsFor; waitsFor != "backoff" {
			t.Fatalf("the feed waits for %s", waitsFor)
		}
		f.store.setFailures(nil)
		feed.listAgain("test")
		time.Sleep(100 * time.Millisecond)
		if len(lists) == 0 {
			t.Errorf("the feed waits for %s", feed.status().waitsFor)
		}
	})
}
