package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// fakeSchema decodes values in the JSON form of the types of package fleet.
type fakeSchema struct{}

func decode[T any](o objectapi.Object) (T, error) {
	var v T
	err := json.Unmarshal(o.Value, &v)
	return v, err
}

func (fakeSchema) Config(o objectapi.Object) (*fleet.Config, error) {
	c, err := decode[fleet.Config](o)
	return &c, err
}

func (fakeSchema) Backend(o objectapi.Object) (*fleet.Backend, error) {
	b, err := decode[fleet.Backend](o)
	b.ID = o.Name
	return &b, err
}

func (fakeSchema) Instance(o objectapi.Object) (fleet.Instance, error) {
	i, err := decode[fleet.Instance](o)
	i.Name = o.Name
	return i, err
}

func (fakeSchema) Strike(o objectapi.Object) (quarantine.Strike, error) {
	return decode[quarantine.Strike](o)
}

func (fakeSchema) EncodeStrike(s quarantine.Strike) (string, []byte, error) {
	text, err := json.Marshal(s)
	return s.Crash.Server.Name, text, err
}

func (fakeSchema) Trial(o objectapi.Object) (quarantine.Trial, bool) {
	t, err := decode[quarantine.Trial](o)
	return t, err == nil && t.Number > 0
}

func (fakeSchema) EncodeTrial(t quarantine.Trial) (string, []byte, error) {
	text, err := json.Marshal(t)
	return fmt.Sprint("trial-", t.Number), text, err
}

func (fakeSchema) EncodeInstance(i fleet.Instance) ([]byte, error) { return json.Marshal(i) }

// fakeStore keeps a list of changes and answers or fails as configured. It is used within one synctest bubble.
type fakeStore struct {
	revision atomic.Uint64
	events   chan []objectapi.Event // of one element: the changes so far
	// failures configures how the calls for a kind fail: "silent" with a timeout, "refuses" at once, "forgot" because the
	// store no longer holds the changes, "garbled" because the changes cannot be read, "all garbled" also the list. With ""
	// they are answered.
	failures atomic.Pointer[map[objectapi.Kind]string]
	calls    atomic.Int64
	// dropped holds the kinds whose changes are not told to calls that wait for changes.
	dropped atomic.Pointer[map[objectapi.Kind]bool]
	// shownRevision, if it is not zero, is the revision in the answers to calls for changes.
	shownRevision atomic.Uint64
	// era is the era in the answers; zero names none.
	era atomic.Uint64
}

func newFakeStore() *fakeStore {
	s := &fakeStore{events: make(chan []objectapi.Event, 1)}
	s.events <- nil
	s.revision.Store(1)
	s.setFailures(nil)
	return s
}

func (s *fakeStore) setFailures(kinds map[objectapi.Kind]string) { s.failures.Store(&kinds) }

// dropChanges makes calls for changes of some kinds answer as if there were none.
func (s *fakeStore) dropChanges(kinds ...objectapi.Kind) {
	dropped := map[objectapi.Kind]bool{}
	for _, kind := range kinds {
		dropped[kind] = true
	}
	s.dropped.Store(&dropped)
}

// hideRevision keeps the revision in the answers to calls for changes as it is now.
func (s *fakeStore) hideRevision() { s.shownRevision.Store(s.revision.Load()) }

func (s *fakeStore) change(e objectapi.Event) {
	events := <-s.events
	e.Object.Version = s.revision.Add(1)
	s.events <- append(events, e)
}

func (s *fakeStore) put(kind objectapi.Kind, name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // tests pass values that can be encoded
	}
	s.change(objectapi.Event{Object: objectapi.Object{Kind: kind, Name: name, Value: text}})
}

func (s *fakeStore) remove(kind objectapi.Kind, name string) {
	s.change(objectapi.Event{Object: objectapi.Object{Kind: kind, Name: name}, Deleted: true})
}

const callTimeout = 600 * time.Millisecond // the timeout of the platform's client

func (s *fakeStore) fail(ctx context.Context, kind objectapi.Kind, wait time.Duration) error {
	s.calls.Add(1)
	switch (*s.failures.Load())[kind] {
	case "silent":
		task.Pause(ctx, wait+callTimeout)
		return fault.New(fault.StoreUnavailable, "", "silent")
	case "refuses":
		return fault.New(fault.StoreUnavailable, "", "refused")
	case "forgot":
		return fault.New(fault.TooOld, "", "forgotten")
	case "garbled", "all garbled":
		return fault.New(fault.Invalid, "", "garbled")
	}
	return nil
}

// position returns the position of a revision in the present era.
func (s *fakeStore) position(revision uint64) objectapi.Position {
	return objectapi.Position{Era: s.era.Load(), Revision: revision}
}

// storeCopy is the content of a fakeStore at one time.
type storeCopy struct {
	events   []objectapi.Event
	revision uint64
}

func (s *fakeStore) takeCopy() storeCopy {
	events := <-s.events
	s.events <- events
	return storeCopy{events: slices.Clone(events), revision: s.revision.Load()}
}

// returnFrom makes the store return from a copy, in the next era. Calls that wait for changes go on.
func (s *fakeStore) returnFrom(c storeCopy) {
	<-s.events
	s.revision.Store(c.revision)
	s.era.Add(1)
	s.events <- slices.Clone(c.events)
}

// at returns a position in a store without eras.
func at(revision uint64) objectapi.Position { return objectapi.Position{Revision: revision} }

// ObserveEras implements Store. The tests of eras have a store of their own.
func (s *fakeStore) ObserveEras(func(context.Context, EraReport)) {}

func (s *fakeStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, objectapi.Position, error) {
	err := s.fail(ctx, kind, 0)
	if err != nil && !fault.Is(err, fault.TooOld) && (*s.failures.Load())[kind] != "garbled" {
		return nil, at(0), err
	}
	events := <-s.events
	s.events <- events
	known := map[string]objectapi.Object{}
	for _, e := range events {
		if e.Object.Kind == kind {
			delete(known, e.Object.Name)
			if !e.Deleted {
				e.Object.Era = s.era.Load()
				known[e.Object.Name] = e.Object
			}
		}
	}
	var list []objectapi.Object
	for _, o := range known {
		list = append(list, o)
	}
	return list, s.position(s.revision.Load()), nil
}

func (s *fakeStore) Changes(ctx context.Context, kind objectapi.Kind, after objectapi.Position,
	wait time.Duration) ([]objectapi.Event, objectapi.Position, error) {
	if err := s.fail(ctx, kind, wait); err != nil {
		return nil, at(0), err
	}
	for end := time.Now().Add(wait); ; {
		events := <-s.events
		s.events <- events
		if s.era.Load() > 0 && after.Revision > s.revision.Load() {
			return nil, at(0), fault.New(fault.TooOld, "", "no such revision")
		}
		var changes []objectapi.Event
		for _, e := range events {
			if dropped := s.dropped.Load(); dropped != nil && (*dropped)[kind] {
				continue
			}
			if e.Object.Kind == kind && e.Object.Version > after.Revision {
				e.Object.Era = s.era.Load()
				changes = append(changes, e)
			}
		}
		if len(changes) > 0 || !time.Now().Before(end) {
			if shown := s.shownRevision.Load(); shown > 0 {
				return changes, s.position(shown), nil
			}
			return changes, s.position(s.revision.Load()), nil
		}
		if !task.Pause(ctx, 4*time.Millisecond) {
			return nil, at(0), fault.New(fault.StoreUnavailable, "", "cancelled")
		}
	}
}

func (s *fakeStore) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) error {
	if err := s.fail(ctx, kind, 0); err != nil {
		return err
	}
	events := <-s.events
	exists := false
	for _, e := range events {
		if e.Object.Kind == kind && e.Object.Name == name {
			exists = !e.Deleted
		}
	}
	if exists {
		s.events <- events
		return fault.New(fault.Conflict, "", "object exists")
	}
	s.events <- append(events, objectapi.Event{Object: objectapi.Object{Kind: kind, Name: name,
		Version: s.revision.Add(1), Value: value}})
	return nil
}

func (s *fakeStore) Write(_ context.Context, kind objectapi.Kind, name string, value []byte) error {
	s.put(kind, name, json.RawMessage(value))
	return nil
}

func (s *fakeStore) Remove(_ context.Context, kind objectapi.Kind, name string) error {
	s.remove(kind, name)
	return nil
}

// startBoard runs the board and the feeds of one instance without peers until the context is done.
func startBoard(t *testing.T, ctx context.Context, store Store) *SnapshotPublisher {
	t.Helper()
	snapshots, b := newTestBoard(t, store)
	for _, f := range b.source.feeds {
		go func() { _ = f.run(ctx) }() // it ends with the context
	}
	go func() { _ = b.run(ctx) }()         // same
	go func() { _ = b.decoder.run(ctx) }() // same
	return snapshots
}

// newTestBoard returns a board with feeds that do not run.
func newTestBoard(t *testing.T, store Store) (*SnapshotPublisher, *board) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	snapshots := &SnapshotPublisher{}
	b, err := newBoard(fakeSchema{}, snapshots, log)
	if err != nil {
		t.Fatal(err)
	}
	b.onUnregistered, b.onDataAge = func() {}, func(objectapi.Kind, time.Duration) {}
	b.onStrike, b.onTrial = func(quarantine.Strike, bool) {}, func(quarantine.Trial) {}
	settings := &Settings{Bounds: Bounds{Drain: 2 * time.Second}}
	if b.source, err = newNewsSource(b, fleet.Instance{Name: "edge-1", Place: fleet.Place{Region: "east", Zone: "a"}},
		settings, nil); err != nil {
		t.Fatal(err)
	}
	if b.staleness, err = newStaleness(b, settings.Bounds.ConfigApply); err != nil {
		t.Fatal(err)
	}
	for _, kind := range followedKinds {
		f, err := newFeed(kind, b.source.limits.Period, "edge-1", store, b.inbox, log)
		if err != nil {
			t.Fatal(err)
		}
		b.source.feeds[kind] = f
	}
	return snapshots, b
}

// Guards against updates that arrive late after an outage of the store; the limit of the platform is 2 s. When the feed of
// configurations got no answer just after that of backend servers had got one, it backed off for 5 s, and a configuration
// came into force 5 s after it was acknowledged (Pecos, scale-1, seed 1046994915547).
func TestUpdatesAfterOutageArriveInTime(t *testing.T) {
	const bound = 2 * time.Second
	for _, failure := range []string{"silent", "refuses", "forgot"} {
		for _, first := range []objectapi.Kind{objectapi.Backends, objectapi.Configuration, objectapi.Evacuations} {
			t.Run(fmt.Sprintf("%s, %s returns first", failure, first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					store := newFakeStore()
					store.put(objectapi.Configuration, configObject, fleet.Config{Version: 1})
					snapshots := startBoard(t, ctx, store)
					time.Sleep(3 * time.Second)
					store.setFailures(map[objectapi.Kind]string{
						objectapi.Backends: failure, objectapi.Configuration: failure, objectapi.Evacuations: failure,
						objectapi.Instances: failure,
					})
					time.Sleep(5 * time.Second)
					others := map[objectapi.Kind]string{
						objectapi.Backends: failure, objectapi.Configuration: failure, objectapi.Evacuations: failure,
						objectapi.Instances: failure,
					}
					delete(others, first)
					store.setFailures(others)
					time.Sleep(900 * time.Millisecond)
					store.setFailures(nil)
					time.Sleep(100 * time.Millisecond)
					store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
					store.put(objectapi.Evacuations, "a", struct{}{})
					store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s"})
					time.Sleep(bound)
					snapshot := snapshots.Newest()
					if snapshot.Config == nil || snapshot.Config.Version != 2 || !snapshot.EvacuatedZones["a"] ||
						len(snapshot.Backends["s"]) != 1 {
						t.Errorf("the snapshot after %s is %+v", bound, snapshot.View)
					}
				})
			})
		}
	}
}

// Guards against servers that are removed at once when their entries lapse during an outage of the store, and against
// servers that are kept although they do not register again within the 2 s that the platform specifies.
func TestLapsedEntriesAreKeptForGraceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore()
		all := map[objectapi.Kind]string{}
		for _, kind := range followedKinds {
			all[kind] = "refuses"
		}
		for _, id := range []string{"back", "gone", "left"} {
			store.put(objectapi.Backends, id, fleet.Backend{Service: "s"})
		}
		snapshots := startBoard(t, ctx, store)
		time.Sleep(2 * time.Second)
		store.remove(objectapi.Backends, "left")
		time.Sleep(2 * time.Second)
		if n := len(snapshots.Newest().Backends["s"]); n != 2 {
			t.Fatalf("a server that was removed while the store answered is still known: %d servers", n)
		}
		store.setFailures(all)
		time.Sleep(3 * time.Second)
		store.remove(objectapi.Backends, "back")
		store.remove(objectapi.Backends, "gone")
		store.setFailures(nil)
		time.Sleep(1500 * time.Millisecond)
		if n := len(snapshots.Newest().Backends["s"]); n != 2 {
			t.Errorf("%d servers are known just after the end of the outage, want 2", n)
		}
		store.put(objectapi.Backends, "back", fleet.Backend{Service: "s"})
		time.Sleep(3 * time.Second)
		if list := snapshots.Newest().Backends["s"]; len(list) != 1 || list[0].ID != "back" {
			t.Errorf("after the grace time %v are known, want only \"back\"", list)
		}
	})
}

// Guards against servers that are kept after their removal because the store did not answer this instance for a while,
// although peers passed on its updates. The feed still counted the failures of an outage that had ended 3 s before, and a
// request reached a server 2.5 s after its removal (Pecos with long cold starts, machines.toml --vary --seed
// 1062172202600).
func TestServersRemovedWhilePeersPassOnUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s"})
		snapshots, b := newTestBoard(t, store)
		f := b.source.feeds[objectapi.Backends]
		step := func(call func(context.Context) string) string {
			ended := make(chan string, 1)
			go func() { ended <- call(t.Context()) }()
			for {
				select {
				case m := <-b.inbox.C():
					b.handle(time.Now(), m)
				case event := <-ended:
					return event
				}
			}
		}
		step(f.readList)
		store.setFailures(map[objectapi.Kind]string{objectapi.Backends: "refuses"})
		for range 3 {
			step(f.readChanges)
		}
		// A peer reports that nothing has changed, and the feed is deactivated.
		events, _ := b.cache.ofKind(objectapi.Backends).changesSince(at(1))
		b.applyUpdate(time.Now(), kindUpdate{kind: objectapi.Backends, base: b.cache.ofKind(objectapi.Backends).position,
			position: at(store.revision.Load()), events: events[:0], asOf: time.Now(), reader: "edge-2"})
		f.applyAssignment(assignment{})
		time.Sleep(time.Second)
		store.setFailures(nil)
		store.remove(objectapi.Backends, "i-1")
		f.applyAssignment(assignment{active: true})
		step(f.readChanges)
		if n := len(snapshots.Newest().Backends["s"]); n != 0 {
			t.Errorf("%d servers are known although the only one was removed", n)
		}
	})
}

// Guards against data that looks recent after the machine was suspended: the monotonic clock does not count that time, and
// peers that ask would stop reading the store.
func TestSuspensionAgesData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b := newTestBoard(t, newFakeStore())
		var total time.Duration
		b.totalSuspension, b.countedSuspension = func() time.Duration { return total }, 0
		now := time.Now()
		b.applyUpdate(now, kindUpdate{kind: objectapi.Backends, complete: true, position: at(3), asOf: now})
		total = 3 * time.Second
		b.applySuspension()
		if age := b.source.dataAge(now); age != 3*time.Second {
			t.Errorf("the data has age %s after a suspension of 3 s", age)
		}
		late := kindUpdate{kind: objectapi.Backends, complete: true, position: at(4), asOf: now, suspendedAtCall: 0}
		b.adjustForSuspension(&late)
		if age := now.Sub(late.asOf); age != 3*time.Second {
			t.Errorf("an answer whose call began before a suspension of 3 s has age %s", age)
		}
	})
}

// Guards against an older configuration that replaces a newer one, and against an older incarnation of a server that does.
func TestOlderVersionsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore()
		snapshots := startBoard(t, ctx, store)
		store.put(objectapi.Configuration, configObject, fleet.Config{Version: 7})
		store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s", StartedAtMs: 20, Sequence: 4})
		time.Sleep(2 * time.Second)
		store.put(objectapi.Configuration, configObject, fleet.Config{Version: 6})
		store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s", StartedAtMs: 10, Sequence: 9, Draining: true})
		time.Sleep(2 * time.Second)
		snapshot := snapshots.Newest()
		if snapshot.Config.Version != 7 || snapshot.Backends["s"][0].StartedAtMs != 20 || snapshot.Backends["s"][0].Draining {
			t.Errorf("the snapshot has configuration version %d and server %+v", snapshot.Config.Version, snapshot.Backends["s"][0])
		}
	})
}

// Guards against a server whose entries are ignored until it leaves, also the one that says that it drains, because its clock
// was set back between two starts. The process that wrote the newer entry would have written again.
func TestOutdatedEntryThatStaysIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore()
		snapshots := startBoard(t, ctx, store)
		entry := func(started int64, draining bool) {
			store.put(objectapi.Backends, "i-1", fleet.Backend{Service: "s", StartedAtMs: started, Sequence: 4, Draining: draining})
			time.Sleep(2 * time.Second)
		}
		started := func() int64 { return snapshots.Newest().Backends["s"][0].StartedAtMs }
		entry(20, false)
		entry(10, true)
		entry(20, false)
		time.Sleep(2 * outdatedGrace)
		if started() != 20 || snapshots.Newest().Backends["s"][0].Draining {
			t.Errorf("an outdated entry that was replaced is used: %+v", snapshots.Newest().Backends["s"][0])
		}
		entry(10, false)
		entry(10, true)
		if started() != 20 {
			t.Error("an outdated entry is used at once")
		}
		time.Sleep(outdatedGrace)
		if s := snapshots.Newest().Backends["s"][0]; s.StartedAtMs != 10 || !s.Draining {
			t.Errorf("an entry that stays in the store is ignored: %+v", s)
		}
	})
}

// Guards against entries of removed instances and expired strikes that remain in the store: the former reduce the shares of
// cold servers, and both are read at each start.
func TestStaleEntriesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		_, b := newTestBoard(t, store)
		for _, name := range []string{"edge-1", "edge-2", "edge-3", "edge-4"} {
			store.put(objectapi.Instances, name, fleet.Instance{Address: name})
		}
		crash := func(at time.Time) quarantine.Strike {
			return quarantine.Strike{Crash: quarantine.Crash{Server: quarantine.Server{Name: "i-1"}, At: at}}
		}
		store.put(objectapi.Strikes, "old", crash(time.Now().Add(-time.Hour)))
		store.put(objectapi.Strikes, "new", crash(time.Now().Add(time.Hour)))
		names := func(kind objectapi.Kind) string {
			objects, revision, err := store.List(t.Context(), kind)
			if err != nil {
				t.Fatal(err)
			}
			var events []objectapi.Event
			var list []string
			for _, o := range objects {
				events, list = append(events, objectapi.Event{Object: o}), append(list, o.Name)
			}
			b.applyUpdate(time.Now(), kindUpdate{kind: kind, complete: true, events: events, position: revision,
				asOf: time.Now(), reader: "edge-1"})
			slices.Sort(list)
			return strings.Join(list, " ")
		}
		j := newJanitor("edge-1", b.inbox, store, slog.New(slog.DiscardHandler))
		j.reach = func(_ context.Context, address string) bool { return address != "edge-3" }
		for minute := range 13 {
			instances, strikes := names(objectapi.Instances), names(objectapi.Strikes)
			if want := "edge-1 edge-2 edge-3 edge-4"; minute <= 10 && instances != want {
				t.Errorf("after %d minutes the store has %s, want %s", minute, instances, want)
			}
			if minute > 0 && strikes != "new" {
				t.Errorf("after %d minutes the store has the strikes %s", minute, strikes)
			}
			j.round(t.Context(), b.fleetEntries(time.Now()))
			time.Sleep(time.Minute)
		}
		if left := names(objectapi.Instances); left != "edge-1 edge-2 edge-4" {
			t.Errorf("after 13 minutes the store has %s, want all but edge-3", left)
		}
	})
}

// Guards against a fleet in which every instance reads the store a second after its start: the first update can arrive
// before the entries of any instance, so that no peer is known to ask next. At 110 instances this caused 700 of 1,035
// calls.
func TestFollowerWithoutPeersAsksSeeds(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	now := time.Now()
	b.source.seeds = []string{"seed-1", "seed-2"}
	for _, kind := range append([]objectapi.Kind{objectapi.Backends}, rareKinds...) {
		b.applyUpdate(now, kindUpdate{kind: kind, complete: true, position: at(3), asOf: now, reader: "edge-9"})
	}
	b.source.fire("informed")
	if asked := b.source.peersToAsk(now); !slices.Equal(asked, []string{"seed-1"}) {
		t.Errorf("peers asked: %v, want seed-1", asked)
	}
}

// Guards against lists that lose objects in compression, are compressed again for each peer, or exhaust the memory of the
// peer that decompresses them.
func TestUpdatesForPeersAreCompressed(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	now := time.Now()
	events := make([]objectapi.Event, 200)
	for i := range events {
		value := fmt.Appendf(nil, `{"service":"intake","address":"10.0.%d.%d:8080","zone":"permian-a","capacity":6,"state":"ready"}`,
			i/100, i%100)
		events[i].Object = objectapi.Object{Kind: objectapi.Backends, Name: fmt.Sprint("i-", i), Version: uint64(i + 1),
			Value: value}
	}
	s := b.cache.ofKind(objectapi.Backends)
	if _, ok := s.apply(&kindUpdate{kind: objectapi.Backends, complete: true, position: at(300), events: events, asOf: now}); !ok {
		t.Fatal("the list was not applied")
	}
	var plain, first, second peerpb.KindNews
	large := b.source.addObjects(&plain, s, at(0), false)
	small := b.source.addObjects(&first, s, at(0), true)
	b.source.addObjects(&second, s, at(0), true)
	if small*4 > large || &first.Packed[0] != &second.Packed[0] {
		t.Errorf("%d bytes are compressed to %d; compressed again for each peer: %t", large, small,
			&first.Packed[0] != &second.Packed[0])
	}
	changed := events[:100]
	if _, ok := s.apply(&kindUpdate{kind: objectapi.Backends, base: at(300), position: at(301), events: changed,
		asOf: now}); !ok {
		t.Fatal("changes were not applied")
	}
	var delta peerpb.KindNews
	if size := b.source.addObjects(&delta, s, at(300), true); size*2 > large || delta.GetWhole() || &delta.Packed[0] == &first.Packed[0] {
		t.Errorf("changes of 100 objects are compressed to %d bytes; complete list: %t", size, delta.GetWhole())
	}
	objects, err := unpack(first.GetPacked())
	if err != nil || len(objects) != len(events) {
		t.Fatalf("%d objects are decompressed, %v", len(objects), err)
	}
	byName := map[string]*peerpb.NewsObject{}
	for _, o := range objects {
		byName[o.GetName()] = o
	}
	for _, e := range events {
		if o := byName[e.Object.Name]; string(o.GetValue()) != string(e.Object.Value) || o.GetVersion() != e.Object.Version {
			t.Fatalf("%s is decompressed as %s", e.Object.Value, o.GetValue())
		}
	}
	bomb, err := pack([]*peerpb.NewsObject{{Value: make([]byte, maxUnpackedBytes+1)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unpack(bomb); err == nil {
		t.Error("a list that is too large was decompressed")
	}
	if _, err := unpack([]byte("garbage")); err == nil {
		t.Error("invalid data was decompressed")
	}
}

// Guards against too many calls of the store, since each is billed. In normal operation, one reading instance makes at
// most two calls per second.
func TestStoreCallRateIsBounded(t *testing.T) {
	for _, failure := range []string{"", "refuses", "silent"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			store := newFakeStore()
			kinds := map[objectapi.Kind]string{}
			for _, kind := range followedKinds {
				kinds[kind] = failure
			}
			store.setFailures(kinds)
			startBoard(t, ctx, store)
			const length = 30 * time.Second
			time.Sleep(length)
			if calls := float64(store.calls.Load()) / length.Seconds(); calls > 3 {
				t.Errorf("failure %q: %.1f calls per second, want at most 3", failure, calls)
			}
		})
	}
}

// Guards against changes that are lost or repeated in the reply to a peer.
func TestCacheReturnsMissingChanges(t *testing.T) {
	s := objectCache{}.ofKind(objectapi.Backends)
	event := func(name string, version uint64, deleted bool) objectapi.Event {
		return objectapi.Event{Object: objectapi.Object{Name: name, Version: version}, Deleted: deleted}
	}
	names := func(revision uint64) string {
		events, complete := s.changesSince(at(revision))
		var list []string
		for _, e := range events {
			list = append(list, fmt.Sprintf("%s%t", e.Object.Name, e.Deleted))
		}
		return fmt.Sprint(complete, " ", strings.Join(list, " "))
	}
	if _, ok := s.apply(&kindUpdate{base: at(5), position: at(6), events: []objectapi.Event{event("x", 6, false)}}); ok {
		t.Error("changes were applied without the list that they change")
	}
	s.apply(&kindUpdate{complete: true, position: at(10), events: []objectapi.Event{event("a", 3, false)}})
	s.apply(&kindUpdate{base: at(10), position: at(12), events: []objectapi.Event{event("b", 11, false)}})
	s.apply(&kindUpdate{base: at(12), position: at(14), events: []objectapi.Event{event("a", 13, true)}})
	if _, ok := s.apply(&kindUpdate{base: at(10), position: at(20)}); ok {
		t.Error("changes were applied that leave a gap")
	}
	if _, ok := s.apply(&kindUpdate{complete: true, position: at(13)}); ok {
		t.Error("an older list was applied")
	}
	for revision, want := range map[uint64]string{
		0: "true bfalse", 9: "true bfalse", 10: "false bfalse atrue", 12: "false atrue", 14: "false ",
	} {
		if got := names(revision); got != want {
			t.Errorf("the changes after revision %d are %q, want %q", revision, got, want)
		}
	}
}

// slowSchema decodes a configuration slowly.
type slowSchema struct{ fakeSchema }

func (slowSchema) Config(o objectapi.Object) (*fleet.Config, error) {
	time.Sleep(120 * time.Millisecond) // of the bubble
	return fakeSchema{}.Config(o)
}

// Guards against a large configuration that holds the process up without a line that says so.
func TestCostOfConfigurationIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		_, b := newTestBoard(t, newFakeStore())
		b.decoder.schema, b.log = slowSchema{}, slog.New(slog.NewJSONHandler(&log, nil))
		b.asOf[objectapi.Configuration] = time.Now().Add(-time.Second)
		value := []byte(`{"Version":7}`)
		b.applyDecodedConfig(b.decoder.decode(objectapi.Object{Kind: objectapi.Configuration, Name: configObject, Value: value}))
		for _, field := range []string{`"bytes":13`, `"decode_ms":120`, `"table_ms":0`, `"age_ms":1120`} {
			if !strings.Contains(log.String(), field) {
				t.Errorf("the line does not contain %s: %s", field, log.String())
			}
		}
	})
}
