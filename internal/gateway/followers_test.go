package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// ownStore is the way of one instance to a store. Calls for the silent kinds have no answer, also those that wait already.
type ownStore struct {
	*fakeStore
	silent atomic.Pointer[map[objectapi.Kind]bool]
	// lost is the number of answers for silent kinds that are lost before the store answers again; zero loses all.
	lost atomic.Int64
	// observe receives the eras in the answers; nil if nobody does.
	observe atomic.Pointer[func(context.Context, EraReport)]
	// late is how long answers are on their way, in nanoseconds. What they say was true before.
	late atomic.Int64
	// hidesEras is true for an instance of the release before, which reads no eras.
	hidesEras bool
}

// ObserveEras implements Store.
func (s *ownStore) ObserveEras(observe func(context.Context, EraReport)) { s.observe.Store(&observe) }

// report reports the era in an answer to a call that began at a time.
func (s *ownStore) report(ctx context.Context, began time.Time, era uint64) {
	if observe := s.observe.Load(); observe != nil && !s.hidesEras {
		(*observe)(ctx, EraReport{Era: era, CallBegan: began})
	}
}

func (s *ownStore) silence(lost int64, kinds ...objectapi.Kind) {
	silent := map[objectapi.Kind]bool{}
	for _, kind := range kinds {
		silent[kind] = true
	}
	s.lost.Store(lost)
	s.silent.Store(&silent)
}

// isLost reports whether the answer to a call for a kind is lost.
func (s *ownStore) isLost(kind objectapi.Kind) bool {
	silent := s.silent.Load()
	if silent == nil || !(*silent)[kind] {
		return false
	}
	if s.lost.Load() > 0 && s.lost.Add(-1) == 0 {
		s.silent.Store(nil)
	}
	return true
}

// hang waits until the timeout of a call that began at a time.
func hang(ctx context.Context, began time.Time, wait time.Duration) error {
	task.Pause(ctx, time.Until(began.Add(wait+callTimeout)))
	return fault.New(fault.StoreUnavailable, "", "silent")
}

func (s *ownStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, objectapi.Position, error) {
	if s.isLost(kind) {
		return nil, at(0), hang(ctx, time.Now(), 0)
	}
	began := time.Now()
	objects, position, err := s.fakeStore.List(ctx, kind)
	era := s.era.Load()
	task.Pause(ctx, time.Duration(s.late.Load()))
	s.report(ctx, began, era)
	if s.hidesEras {
		position.Era = 0
		for i := range objects {
			objects[i].Era = 0
		}
	}
	return objects, position, err
}

func (s *ownStore) Changes(ctx context.Context, kind objectapi.Kind, after objectapi.Position,
	wait time.Duration) ([]objectapi.Event, objectapi.Position, error) {
	began := time.Now()
	events, position, err := s.fakeStore.Changes(ctx, kind, after, wait)
	era := s.era.Load()
	task.Pause(ctx, time.Duration(s.late.Load()))
	if ctx.Err() == nil && s.isLost(kind) {
		return nil, at(0), hang(ctx, began, wait)
	}
	s.report(ctx, began, era)
	if s.hidesEras {
		position.Era = 0
		for i := range events {
			events[i].Object.Era = 0
		}
	}
	return events, position, err
}

// fleetTest is a fleet of instances that read one store and ask each other, in a synctest bubble. The store holds version 1 of
// the configuration.
type fleetTest struct {
	t         *testing.T
	store     *fakeStore
	instances []*fleetInstance
	// prepare is called for each board before it runs; it may be nil.
	prepare func(*fleetInstance)
}

type fleetInstance struct {
	self      fleet.Instance
	store     *ownStore
	board     *board
	snapshots *SnapshotPublisher
	// stop ends the tasks of the instance.
	stop context.CancelFunc
	// inbox is that of the running instance.
	inbox atomic.Pointer[task.Mailbox[any]]
	// stuck is true while its decoder returns nothing.
	stuck atomic.Bool
	// unreachable is true while the instance does not answer its peers.
	unreachable atomic.Bool
}

// newFleetTest returns a fleet whose instances do not run yet. The first three are in one region, the others in another.
func newFleetTest(t *testing.T, size int) *fleetTest {
	f := &fleetTest{t: t, store: newFakeStore()}
	f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 1})
	for n := range size {
		region := "east"
		if n >= 3 {
			region = "west"
		}
		i := &fleetInstance{store: &ownStore{fakeStore: f.store}, self: fleet.Instance{Name: fmt.Sprint("edge-", n+1),
			Address: fmt.Sprint("peer-", n+1), Place: fleet.Place{Region: region, Zone: "a"}, CPUShare: 1}}
		f.store.put(objectapi.Instances, i.self.Name, i.self)
		f.instances = append(f.instances, i)
	}
	return f
}

// News passes a request to the instance at the address. It implements newsClient.
func (f *fleetTest) News(ctx context.Context, address string, in *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	for _, i := range f.instances {
		inbox := i.inbox.Load()
		if i.self.Address != address || inbox == nil {
			continue
		}
		if i.unreachable.Load() {
			return nil, hang(ctx, time.Now(), time.Duration(in.GetWaitMs())*time.Millisecond)
		}
		if i.store.hidesEras {
			in = proto.Clone(in).(*peerpb.NewsRequest)
			for _, k := range in.Known {
				k.Era, k.ConfigVersion = 0, 0
			}
		}
		reply, err := task.Ask(ctx, inbox, func(reply chan<- *peerpb.NewsReply) any { return newsRequest{request: in, reply: reply} })
		if i.store.hidesEras || f.hidesErasOf(in.GetSender().GetInstance()) {
			for _, k := range reply.GetKinds() {
				k.Era, k.Held, k.Ignored = 0, nil, nil
			}
		}
		return reply, err
	}
	return nil, fault.New(fault.StoreUnavailable, "", "no such peer")
}

// hidesErasOf reports whether an instance is of the release before.
func (f *fleetTest) hidesErasOf(name string) bool {
	return slices.ContainsFunc(f.instances, func(i *fleetInstance) bool { return i.self.Name == name && i.store.hidesEras })
}

// start starts the tasks of an instance.
func (f *fleetTest) start(ctx context.Context, i *fleetInstance) {
	i.snapshots, i.board = newTestBoard(f.t, i.store)
	settings := &Settings{Bounds: Bounds{Drain: 2 * time.Second}}
	for _, other := range f.instances[:min(3, len(f.instances))] {
		if other != i && other.board != nil {
			settings.Seeds = append(settings.Seeds, other.self.Address)
		}
	}
	feeds := i.board.source.feeds
	var err error
	if i.board.source, err = newNewsSource(i.board, i.self, settings, f); err != nil {
		f.t.Fatal(err)
	}
	i.board.source.feeds = feeds
	i.store.ObserveEras(i.board.reportEra)
	if f.prepare != nil {
		f.prepare(i)
	}
	ctx, i.stop = context.WithCancel(ctx)
	i.board.decoder.schema = stuckSchema{stuck: &i.stuck, until: ctx}
	for _, feed := range feeds {
		feed.name = i.self.Name
		go func() { _ = feed.run(ctx) }()
	}
	b := i.board
	go func() { _ = b.run(ctx) }()
	go func() { _ = b.decoder.run(ctx) }()
	i.inbox.Store(b.inbox)
}

// reader returns the instance that alone reads the store. Another one may begin to for a moment.
func (f *fleetTest) reader() *fleetInstance {
	f.t.Helper()
	for range 50 {
		var readers []*fleetInstance
		for _, i := range f.instances {
			if i.board.source.feeds[objectapi.Backends].status().waitsFor != "assignment" {
				readers = append(readers, i)
			}
		}
		if len(readers) == 1 {
			return readers[0]
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("there is not one reader")
	return nil
}

// expectChangeInTime writes a version of the configuration and takes out a zone, and expects both in force at the instances in the time that
// the platform allows.
func (f *fleetTest) expectChangeInTime(version uint64, zone string, excused *fleetInstance) {
	f.t.Helper()
	f.store.put(objectapi.Configuration, configObject, map[string]uint64{"Version": version})
	f.store.put(objectapi.Evacuations, zone, struct{}{})
	time.Sleep(2 * time.Second)
	synctest.Wait()
	for _, i := range f.instances {
		s := i.snapshots.Newest()
		if i != excused && (versionOf(s) != version || !s.EvacuatedZones[zone]) {
			f.t.Errorf("%s is %s and has version %d and zones %v 2 s after version %d", i.self.Name,
				i.board.source.machine.State(), versionOf(s), s.EvacuatedZones, version)
		}
	}
}

// versionOf returns the version of the configuration in a snapshot, zero without one.
func versionOf(s *Snapshot) uint64 {
	if s.Config == nil {
		return 0
	}
	return uint64(s.Config.Version)
}

// inFleet runs a test with a running fleet of five instances, of which the given one reads.
func inFleet(t *testing.T, reader int, test func(f *fleetTest, reader *fleetInstance)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleetTest(t, 5)
		f.start(ctx, f.instances[reader])
		time.Sleep(time.Second)
		for n, i := range f.instances {
			if n != reader {
				f.start(ctx, i)
			}
		}
		time.Sleep(5 * time.Second)
		test(f, f.reader())
	})
}

// forEachReader runs a test for each instance as the reader, at several times between two reads of the store.
func forEachReader(t *testing.T, test func(f *fleetTest, reader *fleetInstance)) {
	for reader := range 5 {
		for offset := time.Duration(0); offset < 800*time.Millisecond; offset += 130 * time.Millisecond {
			t.Run(fmt.Sprintf("edge-%d reads, after %s", reader+1, offset), func(t *testing.T) {
				t.Parallel()
				inFleet(t, reader, func(f *fleetTest, reader *fleetInstance) {
					time.Sleep(offset)
					test(f, reader)
				})
			})
		}
	}
}

// Guards against instances that follow a reader whose calls for the configuration or the evacuations have no answer, while its
// calls for servers do, and against a reader that does not learn of them from its peers.
func TestFollowersNoticeReaderWithoutConfiguration(t *testing.T) {
	for name, kinds := range map[string][]objectapi.Kind{
		"configuration": {objectapi.Configuration}, "evacuations": {objectapi.Evacuations}, "both": rareKinds,
		"all but servers": {objectapi.Configuration, objectapi.Evacuations, objectapi.Instances, objectapi.Strikes},
	} {
		t.Run(name, func(t *testing.T) {
			forEachReader(t, func(f *fleetTest, reader *fleetInstance) {
				reader.store.silence(0, kinds...)
				f.expectChangeInTime(2, "b", reader)
				time.Sleep(3 * time.Second)
				f.expectChangeInTime(3, "c", nil)
			})
		})
	}
}

// Guards against a single lost answer, to a call that waits or to a list, that delays a change at any other instance.
func TestLostAnswerDelaysNoChange(t *testing.T) {
	for lost := int64(1); lost <= 3; lost++ {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			forEachReader(t, func(f *fleetTest, reader *fleetInstance) {
				reader.store.silence(lost, objectapi.Configuration)
				f.expectChangeInTime(2, "b", reader)
				f.expectChangeInTime(3, "c", nil)
			})
		})
	}
}

// Guards against instances that start beside a peer without a configuration and count as informed of it.
func TestStartBesidePeerWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleetTest(t, 4)
		first := f.instances[0]
		first.store.silence(0, objectapi.Configuration)
		f.start(ctx, first)
		time.Sleep(3 * time.Second)
		for _, i := range f.instances[1:] {
			f.start(ctx, i)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, i := range f.instances[1:] {
			if versionOf(i.snapshots.Newest()) != 1 {
				t.Errorf("%s is %s and has no configuration 2 s after its start", i.self.Name, i.board.source.machine.State())
			}
		}
		f.expectChangeInTime(2, "b", first)
	})
}

// Guards against a fleet that waits for a reader which does not answer its peers and does not read, as a frozen process.
func TestFollowersNoticeFrozenReader(t *testing.T) {
	forEachReader(t, func(f *fleetTest, reader *fleetInstance) {
		reader.unreachable.Store(true)
		reader.store.silence(0, followedKinds...)
		f.expectChangeInTime(2, "b", reader)
	})
}

// Guards against a reader that starts again and is taken for one that reads, by its peers or by itself.
func TestFollowersNoticeRestartedReader(t *testing.T) {
	for _, downtime := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(fmt.Sprint("down for ", downtime), func(t *testing.T) {
			forEachReader(t, func(f *fleetTest, reader *fleetInstance) {
				reader.stop()
				reader.unreachable.Store(true)
				time.Sleep(downtime)
				reader.unreachable.Store(false)
				reader.store.silence(0, objectapi.Configuration)
				f.start(f.t.Context(), reader)
				f.expectChangeInTime(2, "b", reader)
				time.Sleep(3 * time.Second)
				f.expectChangeInTime(3, "c", nil)
				reader.stop()
			})
		})
	}
}

// Guards against a reader that is still decoding a configuration and keeps it from its peers, or believes its own to be recent.
func TestBusyDecoderDelaysNoOtherInstance(t *testing.T) {
	forEachReader(t, func(f *fleetTest, reader *fleetInstance) {
		reader.stuck.Store(true)
		written := time.Now()
		f.expectChangeInTime(2, "b", reader)
		time.Sleep(3 * time.Second)
		f.expectChangeInTime(3, "c", reader)
		if s := reader.snapshots.Newest(); versionOf(s) != 1 || s.ConfigAsOf.After(written) {
			t.Errorf("the reader has version %d and believes it to be the newest %s after version 2", versionOf(s), s.ConfigAsOf.Sub(written))
		}
	})
}

// stuckSchema decodes no configuration while it is stuck, until a context ends.
type stuckSchema struct {
	fakeSchema
	stuck *atomic.Bool
	until context.Context
}

func (s stuckSchema) Config(o objectapi.Object) (*fleet.Config, error) {
	if s.stuck.Load() {
		<-s.until.Done()
	}
	return s.fakeSchema.Config(o)
}

// Guards against an age of the configuration that is renewed by answers for other kinds.
func TestAgeOfConfigurationIsTrue(t *testing.T) {
	inFleet(t, 0, func(f *fleetTest, _ *fleetInstance) {
		for _, i := range f.instances {
			i.store.silence(0, rareKinds...)
		}
		f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2})
		written := time.Now()
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			for _, i := range f.instances {
				if s := i.snapshots.Newest(); versionOf(s) == 1 && s.ConfigAsOf.After(written) {
					t.Fatalf("%s believes version 1 to be the newest %s after version 2", i.self.Name, time.Since(written))
				}
			}
		}
	})
}
