package node_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

const (
	fleetSize          = 5
	fleetColdAllowance = 2
	faultyTime         = 100 * time.Second
	// faultEndTime is longer than the longest fault.
	faultEndTime  = 45 * time.Second
	faultFreeTime = 40 * time.Second
	fleetServices = 4
)

// flaw is a deliberate error that the checker must detect.
type flaw int

const (
	noFlaw flaw = iota
	// endlessAuthority lets a keeper act after the end of its session.
	endlessAuthority
	// earlyReleaseWitness releases a session at once, also while it still acknowledges it.
	earlyReleaseWitness
)

// fleet is a set of instances whose tasks run on fakes.
type fleet struct {
	t    *testing.T
	rnd  *rand.Rand
	flaw flaw
	// dial connects to the backend servers. serversHealthy is true if the service tasks report good answers of them.
	dial           backend.Dialer
	serversHealthy bool
	store          *memoryStore
	net            *memoryNet
	docs           *node.Documents
	nodes          []*instanceUnderTest
	// scheduled holds the actions that are to run later, in the goroutine of the history.
	scheduled []scheduledAction

	mu sync.Mutex
	// live are the instances in the gossip view, which lags behind the real state.
	live   []member.Instance
	grants map[string][]porcupine.Operation
	// delivered holds the leases that the tasks of each service got, in this order.
	delivered map[string][]deliveredLease
	err       error
}

type deliveredLease struct {
	at    time.Time
	lease balance.ShardLease
}

type scheduledAction struct {
	due time.Time
	do  func()
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.scheduled = append(f.scheduled, scheduledAction{time.Now().Add(d), do})
}

// run lets time pass and runs the scheduled actions as they come due.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		due := f.scheduled
		f.scheduled = nil
		for _, p := range due {
			if p.due.After(time.Now()) {
				f.scheduled = append(f.scheduled, p)
				continue
			}
			p.do()
		}
	}
}

// instanceUnderTest is one instance. It also stands in for the task of each of its services.
type instanceUnderTest struct {
	fleet   *fleet
	self    member.Instance
	store   *storeClient
	stop    context.CancelFunc
	session *node.Session
	keeper  *node.Keeper
	holder  *node.Holder
	group   sync.WaitGroup

	// The fleet's mutex guards the rest.
	rnd         *rand.Rand
	pausedUntil time.Time
	leases      map[string]balance.ShardLease
	shortage    map[string]chan struct{}
	alive       bool
}

func (f *fleet) start(name string, incarnation uint64) *instanceUnderTest {
	i := &instanceUnderTest{
		fleet: f, self: member.Instance{Name: name, Incarnation: incarnation, Region: "permian", Zone: "permian-a"},
		store: &storeClient{store: f.store, rnd: rand.New(rand.NewPCG(f.rnd.Uint64(), 0))},
		rnd:   rand.New(rand.NewPCG(f.rnd.Uint64(), 0)), leases: map[string]balance.ShardLease{}, shortage: map[string]chan struct{}{}, alive: true,
	}
	for service := range f.docs.Services {
		i.shortage[service] = make(chan struct{}, 1)
	}
	log := slog.New(slog.DiscardHandler)
	docs := func() *node.Documents { i.waitWhilePaused(); return f.docs }
	var err error
	i.session, err = node.NewSession(node.SessionOptions{Self: i.self, API: i.store, Peers: netClient{net: f.net, self: name}, View: i.view, Log: log})
	if err != nil {
		f.t.Fatal(err)
	}
	i.keeper = node.NewKeeper(node.KeeperConfig{
		Self: i.self, API: i.store, View: i.view, Docs: docs, Sessions: flawedSession{i.session, f.flaw}, Dial: f.dial, ProbesPerSecond: 2, Log: log,
	})
	i.holder = node.NewHolder(node.HolderConfig{
		Self: i.self, Peers: netClient{net: f.net, self: name}, LocalKeeper: i.lease, Owners: i.keeper.Owners, View: i.view, Docs: docs, Log: log,
		Service: func(service string) (node.LeasedService, bool) { return fakeService{i, service}, true },
	})
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	for _, run := range []func(context.Context) error{i.session.Run, i.keeper.Run, i.holder.Run} {
		i.group.Go(func() { _ = run(ctx) })
	}
	f.net.mu.Lock()
	f.net.handlers[name] = peer.Handlers{Lease: i.lease, Witness: i.witness}
	f.net.mu.Unlock()
	return i
}

// waitWhilePaused blocks a task while its instance is paused.
func (i *instanceUnderTest) waitWhilePaused() {
	for {
		i.fleet.mu.Lock()
		until := i.pausedUntil
		i.fleet.mu.Unlock()
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (i *instanceUnderTest) view() *member.View {
	i.waitWhilePaused()
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	return &member.View{Self: i.self, Live: i.fleet.live, Listed: map[string]bool{"i0": true, "i1": true, "i2": true, "i3": true, "i4": true}}
}

// lease records each grant as an operation on a fenced lock.
func (i *instanceUnderTest) lease(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	called := time.Now()
	out, err := i.keeper.Lease(ctx, in)
	i.waitWhilePaused()
	if err != nil || out.GetNotKeeper() {
		return out, err
	}
	f := i.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants[in.GetService()] = append(f.grants[in.GetService()], porcupine.Operation{
		Input: i.self.Name, Call: called.UnixNano(), Output: out.GetEpoch(), Return: time.Now().UnixNano(),
	})
	return out, nil
}

func (i *instanceUnderTest) witness(ctx context.Context, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	out, err := i.session.HandleWitness(ctx, in)
	if i.fleet.flaw == earlyReleaseWitness && in.GetRelease() != "" {
		return &peerpb.WitnessReply{Released: true}, nil
	}
	return out, err
}

// flawedSession is the session as the keeper sees it, with or without a flaw.
type flawedSession struct {
	*node.Session
	flaw flaw
}

func (s flawedSession) Authority() session.Authority {
	a := s.Session.Authority()
	if s.flaw == endlessAuthority {
		a.ExpiresAt = time.Now().Add(time.Hour)
	}
	return a
}

// fakeService is a fake task of one service at one instance. It requests random numbers of slots and records its lease.
type fakeService struct {
	*instanceUnderTest
	service string
}

func (s fakeService) Demand(context.Context, string) (balance.Demand, error) {
	f := s.fleet
	s.mailboxDelay()
	f.mu.Lock()
	defer f.mu.Unlock()
	d := balance.Demand{Want: s.rnd.IntN(3)}
	lease := s.leases[s.service]
	if time.Now().Before(lease.ExpiresAt) {
		lease.Grants = slices.DeleteFunc(slices.Clone(lease.Grants), func(balance.SlotGrant) bool { return s.rnd.IntN(3) == 0 })
		s.leases[s.service] = lease
		for _, g := range lease.Grants {
			d.Held = append(d.Held, balance.HeldSlots{Server: g.Server, Slots: g.Slots})
			if f.serversHealthy {
				d.Reports = append(d.Reports, balance.Report{Server: g.Server, Good: 1, Latency: 20 * time.Millisecond})
			}
		}
	}
	if s.rnd.IntN(3) == 0 {
		select {
		case s.shortage[s.service] <- struct{}{}:
		default:
		}
	}
	return d, nil
}

// mailboxDelay simulates the delay in the mailbox of the service.
func (s fakeService) mailboxDelay() {
	s.fleet.mu.Lock()
	wait := time.Duration(s.rnd.IntN(100)) * time.Millisecond
	s.fleet.mu.Unlock()
	time.Sleep(wait)
}

func (s fakeService) Lease(_ context.Context, l balance.ShardLease) error {
	s.mailboxDelay()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.leases[s.service] = l
	s.fleet.delivered[s.service] = append(s.fleet.delivered[s.service], deliveredLease{time.Now(), l})
	s.fleet.checkColdSlots(s.service)
	return nil
}

func (s fakeService) Notice(context.Context, balance.Notice) error { return nil }
func (s fakeService) Shortage() <-chan struct{}                    { return s.shortage[s.service] }

// checkColdSlots checks the total of cold slots in use. All servers stay cold while none of them answers.
func (f *fleet) checkColdSlots(service string) {
	used := map[string]int{}
	for _, i := range f.nodes {
		if l := i.leases[service]; i.alive && time.Now().Before(l.ExpiresAt) {
			for _, g := range l.Grants {
				if g.Cold && !f.serversHealthy {
					used[g.Server] += g.Slots
				}
			}
		}
	}
	for server, n := range used {
		if n > fleetColdAllowance && f.err == nil {
			f.err = fmt.Errorf("%d cold slots of server %s of %s in use, allowance %d", n, server, service, fleetColdAllowance)
		}
	}
}

// gossipLag is the time after which gossip declares an unresponsive instance dead.
const gossipLag = 6 * time.Second

// hideFromGossip removes an instance from the view after the lag and adds it again after it has returned.
func (f *fleet) hideFromGossip(n int, duration time.Duration) {
	if duration < gossipLag {
		return
	}
	f.schedule(gossipLag, func() { f.setLive(n, false) })
	f.schedule(duration+time.Second, func() { f.setLive(n, f.nodes[n].alive) })
}

func (f *fleet) setLive(n int, live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.nodes[n].self
	f.live = slices.DeleteFunc(slices.Clone(f.live), func(i member.Instance) bool { return i.Name == self.Name })
	if live {
		f.live = append(f.live, self)
	}
}

// kill stops an instance without notice; it comes back as a new incarnation.
func (f *fleet) kill(n int, duration time.Duration) {
	old := f.nodes[n]
	if !old.alive {
		return
	}
	f.mu.Lock()
	old.alive, old.pausedUntil = false, time.Time{}
	f.mu.Unlock()
	f.net.mu.Lock()
	delete(f.net.handlers, old.self.Name)
	f.net.mu.Unlock()
	old.stop()
	old.group.Wait()
	f.schedule(duration, func() {
		started := f.start(old.self.Name, old.self.Incarnation+1)
		f.mu.Lock()
		f.nodes[n] = started
		f.mu.Unlock()
	})
	f.hideFromGossip(n, duration)
}

// leave stops an instance gracefully. A fault may prevent the handover.
func (f *fleet) leave(n int, duration time.Duration) {
	if !f.nodes[n].alive {
		return
	}
	f.setLive(n, false)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = f.nodes[n].keeper.Leave(ctx)
	_ = f.nodes[n].session.Leave(ctx)
	f.kill(n, duration)
	f.schedule(duration+time.Second, func() { f.setLive(n, f.nodes[n].alive) })
}

// injectFault injects one fault.
func (f *fleet) injectFault() {
	n := f.rnd.IntN(len(f.nodes))
	name := f.nodes[n].self.Name
	duration := time.Duration(1+f.rnd.IntN(40)) * time.Second
	switch f.rnd.IntN(10) {
	case 0, 1:
		f.mu.Lock()
		f.nodes[n].pausedUntil = time.Now().Add(duration)
		f.mu.Unlock()
		f.hideFromGossip(n, duration)
	case 2:
		f.kill(n, duration)
	case 3:
		f.leave(n, duration)
	case 4, 8:
		f.isolate(n, duration, f.rnd.IntN(2) == 0)
	case 5:
		f.store.fail(true, false, false)
		f.schedule(duration, func() { f.store.fail(false, false, false) })
	case 6:
		f.store.fail(false, true, f.rnd.IntN(2) == 0)
		f.schedule(duration, func() { f.store.fail(false, false, false) })
	case 7:
		f.setLive(n, false) // a view that declares a live instance dead
		f.schedule(duration, func() { f.setLive(n, f.nodes[n].alive) })
	default:
		other := f.nodes[f.rnd.IntN(len(f.nodes))].self.Name
		f.cut(name, other, 1)
		f.schedule(duration, func() { f.cut(name, other, -1) })
	}
}

// isolate disconnects an instance from the object API and from gossip, and optionally from its peers.
func (f *fleet) isolate(n int, duration time.Duration, fromPeers bool) {
	store, name := f.nodes[n].store, f.nodes[n].self.Name
	store.fail(1)
	f.schedule(duration, func() { store.fail(-1) })
	f.hideFromGossip(n, duration)
	for _, other := range f.nodes {
		if fromPeers {
			f.cut(name, other.self.Name, 1)
			f.schedule(duration, func() { f.cut(name, other.self.Name, -1) })
		}
	}
}

// cut changes the number of faults on the links between two instances.
func (f *fleet) cut(a, b string, faults int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.cut[[2]string{a, b}] += faults
	f.net.cut[[2]string{b, a}] += faults
}

func newFleet(t *testing.T, seed uint64, flaw flaw, instances, services int) *fleet {
	f := &fleet{
		dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") },
		t:    t, rnd: rand.New(rand.NewPCG(seed, 1)), flaw: flaw, store: newMemoryStore(), grants: map[string][]porcupine.Operation{},
		delivered: map[string][]deliveredLease{},
		net:       &memoryNet{rnd: rand.New(rand.NewPCG(seed, 2)), handlers: map[string]peer.Handlers{}, cut: map[[2]string]int{}},
		docs:      &node.Documents{Services: map[string]*document.Service{}},
	}
	f.docs.Fleet = &document.Fleet{Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}}
	for n := range services {
		doc := &document.Service{Name: fmt.Sprintf("s%d", n)}
		doc.Servers.Slots, doc.Servers.ColdAllowance = 6, fleetColdAllowance
		doc.Servers.List = []document.Server{{Name: "w1", Address: "10.0.0.1:80", Zone: "permian-a"}, {Name: "w2", Address: "10.0.0.2:80", Zone: "permian-a"}}
		doc.ApplyDefaults()
		f.docs.Services[doc.Name] = doc
	}
	for n := range instances {
		f.live = append(f.live, member.Instance{Name: fmt.Sprintf("i%d", n), Incarnation: 1, Region: "permian", Zone: "permian-a"})
	}
	return f
}

func (f *fleet) startAll() {
	for _, self := range f.live {
		started := f.start(self.Name, self.Incarnation)
		f.mu.Lock()
		f.nodes = append(f.nodes, started)
		f.mu.Unlock()
	}
}

func (f *fleet) stopAll() {
	for _, i := range f.nodes {
		i.stop()
		i.group.Wait()
	}
}

// fencedLock is the model of a lock with fencing: an owner may act in its epoch until an owner has acted in a later
// one.
var fencedLock = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, output any) (bool, any) {
		before, now := state.(lockState), lockState{output.(uint64), input.(string)}
		return now.epoch > before.epoch || now == before, now
	},
}

type lockState struct {
	epoch uint64
	owner string
}

// runHistory runs one history and returns its violations.
func runHistory(t *testing.T, seed uint64, flaw flaw, scenario func(*fleet)) (err error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, flaw, fleetSize, fleetServices)
		f.startAll()
		scenario(f)
		f.run(faultEndTime)
		f.run(faultFreeTime)
		after := time.Now().Add(-5 * time.Second).UnixNano()
		f.stopAll()
		time.Sleep(time.Minute) // delayed writes of the fakes take effect
		err = f.checkHistory(after)
	})
	return err
}

// manyFaults injects faults of all kinds. The seed selects the gap between them, from many at a time to few.
func manyFaults(seed uint64) func(*fleet) {
	gap := 4000 << (seed % 4)
	return func(f *fleet) {
		for begin := time.Now(); time.Since(begin) < faultyTime; f.injectFault() {
			f.run(time.Duration(f.rnd.IntN(gap)) * time.Millisecond)
		}
	}
}

// disconnectOwner disconnects the owner of a shard from the object API and optionally from its peers.
func disconnectOwner(fromPeers bool) func(*fleet) {
	return func(f *fleet) {
		f.run(10 * time.Second)
		f.isolate(f.owner("s0"), 40*time.Second, fromPeers)
		f.run(40 * time.Second)
	}
}

// Guards against a dead owner whose session is never fenced: the shard must have moved after the sum of all timeouts.
func TestShardMovesAfterKill(t *testing.T) {
	waits := gossipLag + session.Term + session.TermMargin + session.WitnessTerm + session.WitnessMargin + keeper.GracePeriod
	const intervals = 6 * time.Second // the stagger of fences, and one interval of each task involved
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, noFlaw, fleetSize, fleetServices)
		f.startAll()
		f.run(10 * time.Second)
		owner := f.owner("s0")
		f.kill(owner, time.Hour)
		f.run(waits + intervals)
		next := f.owner("s0")
		f.mu.Lock()
		if f.err != nil || next == owner || f.nodes[next].leases["s0"].Epoch < 2 {
			t.Errorf("owner %d after %d, lease %+v, %v", next, owner, f.nodes[next].leases["s0"], f.err)
		}
		f.mu.Unlock()
		f.stopAll()
	})
}

// Guards against a graceful leave that makes warm servers cold, and against a handover that is trusted although it is
// old: in that case the other instances cannot read the object API for longer than handoverAge.
func TestGracefulLeaveHandsOverWarmServers(t *testing.T) {
	const ramp = 3 * document.DefaultWarmUpStep // doubles the allowance of 2 up to the 6 slots
	for name, outage := range map[string]time.Duration{"fresh": 0, "old": 12 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, noFlaw, fleetSize, fleetServices)
			f.serversHealthy, f.dial = true, readyServer
			f.startAll()
			f.run(20 * time.Second)
			owner := f.owner("s0")
			for n, i := range f.nodes {
				if n != owner && outage > 0 {
					i.store.fail(1)
					f.schedule(outage, func() { i.store.fail(-1) })
				}
			}
			f.leave(owner, time.Hour)
			f.run(outage + keeper.GracePeriod + 2500*time.Millisecond) // before the ramp of a cold server is complete
			f.mu.Lock()
			defer f.mu.Unlock()
			expected, cold := outage > 0, f.grantsOfNextKeeper("s0", ramp)
			if cold[expected] == 0 || cold[!expected] > 0 {
				t.Errorf("%s handover: grants by cold %v", name, cold)
			}
			f.mu.Unlock()
			f.stopAll()
			f.mu.Lock()
		})
	}
}

// grantsOfNextKeeper counts the delivered grants of later epochs than the first by whether they are cold, from the first of
// them on and for a time. The services return slots at random, so none may be held at any one moment.
func (f *fleet) grantsOfNextKeeper(service string, duration time.Duration) map[bool]int {
	cold := map[bool]int{}
	var first time.Time
	for _, d := range f.delivered[service] {
		for _, g := range d.lease.Grants {
			if d.lease.Epoch == 1 {
				continue
			}
			if first.IsZero() {
				first = d.at
			}
			if d.at.Sub(first) < duration {
				cold[g.Cold]++
			}
		}
	}
	return cold
}

// readyServer is a backend server that answers every probe.
func readyServer(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		for r := bufio.NewReader(server); ; {
			if _, err := http.ReadRequest(r); err != nil {
				_ = server.Close()
				return
			}
			_, _ = server.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBackend-State: ready\r\nBackend-Incarnation: i1\r\n\r\n"))
		}
	}()
	return client, nil
}

// owner returns the index of the instance that keeps the shard of a service, according to a live instance.
func (f *fleet) owner(service string) int {
	for _, i := range f.nodes {
		if i.alive {
			owner := i.keeper.Owners()[keeper.Key{Service: service, Zone: "permian-a"}]
			return slices.IndexFunc(f.nodes, func(i *instanceUnderTest) bool { return i.self.Name == owner })
		}
	}
	return -1
}

// checkHistory returns the violations: of the cold allowance, of the lock, and shards without a keeper after the
// faults.
func (f *fleet) checkHistory(after int64) error {
	violations := f.err
	for service := range f.docs.Services {
		ops := f.grants[service]
		if result := porcupine.CheckOperationsTimeout(fencedLock, ops, time.Minute); result != porcupine.Ok {
			violations = errors.Join(violations, fmt.Errorf("shard of %s: grants do not follow a fenced lock (%v), %d grants", service, result, len(ops)))
		}
		if !slices.ContainsFunc(ops, func(op porcupine.Operation) bool { return op.Call > after }) {
			violations = errors.Join(violations, fmt.Errorf("shard of %s has no keeper %v after the last fault", service, faultFreeTime))
		}
	}
	return violations
}

// Guards against two keepers of one shard, cold slots above the allowance, and shards that stay without a keeper,
// when instances are paused or killed, replies are lost or late, the object API is down, peers are disconnected and
// views are outdated.
func TestOneKeeperUnderFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			if err := runHistory(t, seed, noFlaw, manyFaults(seed)); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a checker that detects nothing: each flaw must be detected, and the same history must pass without
// it.
func TestCheckerCatchesFlaws(t *testing.T) {
	for name, c := range map[string]struct {
		flaw     flaw
		scenario func(*fleet)
	}{
		"authority without end":          {endlessAuthority, disconnectOwner(true)},
		"witness that releases too soon": {earlyReleaseWitness, disconnectOwner(false)},
	} {
		if err := runHistory(t, 1, noFlaw, c.scenario); err != nil {
			t.Errorf("%s, without the flaw: %v", name, err)
		}
		err := runHistory(t, 1, c.flaw, c.scenario)
		if err == nil {
			t.Errorf("%s: not detected", name)
		}
		t.Logf("%s: %q", name, err)
	}
}

// Guards against instances that start together and claim the shards of a zone one after the other, because after each
// conflict all of them but one wait for the same time.
func TestShardsAreTakenSoonAfterStart(t *testing.T) {
	const instances, services = 30, 60
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, noFlaw, instances, services)
		f.startAll()
		f.run(session.Term)
		if n := len(f.nodes[0].keeper.Owners()); n != services {
			t.Errorf("%d of %d shards have a keeper", n, services)
		}
		f.stopAll()
	})
}
