package keeper_test

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

var (
	start = time.Unix(1000, 0)
	key   = keeper.Key{Service: "intake", Zone: "permian-a"}
	entry = keeper.Entry{Owner: keeper.Owner{Identity: session.Identity{Instance: "a", Incarnation: 1}, Generation: 1}, Epoch: 3}
)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func loadChart(t testing.TB) *chart.Chart {
	t.Helper()
	ch, err := charts.Load("lease", charts.Params{"lease_term": keeper.GracePeriod, "warm_up_step": time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return ch
}

func bindChart(t testing.TB) *keeper.Chart {
	t.Helper()
	bound, err := keeper.Bind(loadChart(t))
	if err != nil {
		t.Fatal(err)
	}
	return bound
}

// fixture is a shard with its authority. Its ask method sends requests on behalf of holders.
type fixture struct {
	t         testing.TB
	shard     *keeper.Shard
	authority session.Authority
	sequence  uint64
}

func newFixture(t testing.TB, warm []keeper.WarmServer, servers ...keeper.Server) *fixture {
	t.Helper()
	return &fixture{
		t: t, shard: keeper.NewShard(bindChart(t), start, key, entry, servers, warm),
		authority: session.Authority{Generation: 1, ExpiresAt: at(1e6)},
	}
}

// ask sends one request and returns the reply.
func (b *fixture) ask(now time.Time, holder string, want int, held []keeper.HeldSlots, reports ...balance.Report) keeper.Reply {
	b.t.Helper()
	b.sequence++
	reply, err := b.shard.HandleRequest(now, b.authority, keeper.Request{
		Holder: session.Identity{Instance: holder, Incarnation: 1}, Sequence: b.sequence, Want: want, Held: held, Reports: reports,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	return reply
}

func grantedSlots(r keeper.Reply) int {
	sum := 0
	for _, g := range r.Grants {
		sum += g.Slots
	}
	return sum
}

func worker(name string) keeper.Server {
	return keeper.Server{Name: name, Address: "10.0.0.1:80", Slots: 6, ColdAllowance: 1}
}

func goodReport(n int) balance.Report {
	return balance.Report{Server: "w1", Good: n, Latency: 20 * time.Millisecond}
}

// Guards against a chart that grants slots of a server before the leases of an earlier keeper have expired, that grants
// all slots without a warm-up or a handover, or that ignores a presumed restart.
func TestChartReachesWarmOnlyByRampOrHandover(t *testing.T) {
	decided := map[[2]string]bool{}
	loadChart(t).Walk(func(s chart.Step) {
		row := [2]string{s.From, s.Event}
		if decided[row] {
			return // a transition after one without a guard is never taken
		}
		decided[row] = s.Guard == ""
		if s.To == "warm" && s.From != "warm" && s.Guard != "ramp_complete" && s.Guard != "handed_over" {
			t.Errorf("%s reaches warm on %s", s.From, s.Event)
		}
		if s.From == "grace" && (s.To == "cold" || s.To == "warm") && s.Event != "grace_expired" {
			t.Errorf("grace ends early on %s", s.Event)
		}
		if s.Event == "presume_cold" && s.To != "cold" && s.From != "grace" && s.From != "draining" {
			t.Errorf("%s goes to %s when presumed cold, want cold", s.From, s.To)
		}
		if s.From == "draining" && s.To != "draining" && s.To != "grace" && s.To != "gone" {
			t.Errorf("a draining server becomes %s on %s", s.To, s.Event)
		}
	})
}

// Guards against a new keeper that grants slots while leases of an earlier keeper are in force.
func TestNewKeeperWaitsForEarlierLeases(t *testing.T) {
	b := newFixture(t, nil, worker("w1"))
	if n := grantedSlots(b.ask(at(2.3), "x", 6, nil)); n != 0 {
		t.Errorf("%d slots granted before the leases of the earlier keeper expired", n)
	}
	r := b.ask(at(2.4), "x", 6, nil)
	if grantedSlots(r) != 1 || !r.Grants[0].Cold || r.Epoch != 3 {
		t.Errorf("reply %+v, want one cold slot in epoch 3", r)
	}
}

// Guards against a handover that is ignored, and against one that is used although the server has restarted.
func TestHandedOverServersAreWarm(t *testing.T) {
	b := newFixture(t, []keeper.WarmServer{{Server: "w1", Incarnation: "i1"}, {Server: "w2", Incarnation: "i1"}}, worker("w1"), worker("w2"))
	b.shard.HandleProbe(at(1), keeper.ProbeResult{Server: "w1", Answered: true, Incarnation: "i1"})
	b.shard.HandleProbe(at(1), keeper.ProbeResult{Server: "w2", Answered: true, Incarnation: "i2"})
	r := b.ask(at(3), "x", 12, nil)
	if len(r.Servers) != 1 || r.Servers[0].Server != "w2" || r.Servers[0].State != balance.Cold {
		t.Errorf("reported servers %+v, want only w2, cold", r.Servers)
	}
	for _, g := range r.Grants {
		if g.Cold != (g.Server == "w2") {
			t.Errorf("grant %+v, want cold only for w2", g)
		}
	}
	if warm := b.shard.Close(at(3)); len(warm) != 1 || warm[0] != (keeper.WarmServer{Server: "w1", Incarnation: "i1"}) {
		t.Errorf("handed over %+v, want only the warm server", warm)
	}
}

// Guards against a cold allowance that is applied per instance instead of in total, also when the reply with the grant
// was lost.
func TestColdAllowanceIsTotal(t *testing.T) {
	b := newFixture(t, nil, worker("w1"))
	if n := grantedSlots(b.ask(at(3), "x", 1, nil)); n != 1 {
		t.Fatalf("first instance got %d slots, want 1", n)
	}
	for _, s := range []float64{3, 4, 5.3} {
		if n := grantedSlots(b.ask(at(s), "y", 1, nil)); n != 0 {
			t.Errorf("second instance got %d slots at %v s, want 0", n, s)
		}
	}
	if n := grantedSlots(b.ask(at(5.5), "y", 1, nil)); n != 1 {
		t.Errorf("second instance got %d slots after the first lease expired, want 1", n)
	}
}

// Guards against a keeper that does not count, or does not lease, slots of requests that were sent without a lease while
// no keeper answered.
func TestUnleasedRequestsAreCountedAndLeased(t *testing.T) {
	b := newFixture(t, []keeper.WarmServer{{Server: "w1"}}, worker("w1"))
	if n := grantedSlots(b.ask(at(3), "x", 0, []keeper.HeldSlots{{Server: "w1", Busy: 3}})); n != 3 {
		t.Errorf("%d slots for 3 requests in flight", n)
	}
	if n := grantedSlots(b.ask(at(3), "y", 6, nil)); n != 3 {
		t.Errorf("%d slots beside 3 requests of another instance, want 3", n)
	}
}

// Guards against a busy slot that is granted again after its lease has expired.
func TestBusySlotStaysCounted(t *testing.T) {
	b := newFixture(t, nil, worker("w1"))
	b.ask(at(3), "x", 1, nil)
	for s := 4.0; s < 10; s++ {
		b.ask(at(s), "x", 0, []keeper.HeldSlots{{Server: "w1", Slots: 0, Busy: 1}})
		if n := grantedSlots(b.ask(at(s), "y", 1, nil)); n != 0 {
			t.Fatalf("busy slot was granted again at %v s", s)
		}
	}
}

// Guards against a warm-up that grows without answers, does not double, or continues after a bad answer.
func TestRampDoublesWhileAnswersAreGood(t *testing.T) {
	b := newFixture(t, nil, worker("w1"))
	held := func(n int) []keeper.HeldSlots { return []keeper.HeldSlots{{Server: "w1", Slots: n}} }
	b.ask(at(2.4), "x", 6, nil)
	steps := []struct {
		at      float64
		held    int
		reports []balance.Report
		want    int
	}{
		{3, 1, []balance.Report{goodReport(1)}, 1},
		{4.1, 1, []balance.Report{goodReport(1)}, 2},
		{5.2, 2, nil, 4},
		{6.3, 4, nil, 4}, // no answer in this step: no growth
		{6.4, 4, []balance.Report{goodReport(4)}, 4},
		{7.4, 4, []balance.Report{goodReport(4)}, 6},
		{7.5, 6, []balance.Report{{Server: "w1", Bad: 1}}, 1},
	}
	for _, step := range steps {
		if n := grantedSlots(b.ask(at(step.at), "x", 6, held(step.held), step.reports...)); n != step.want {
			t.Errorf("at %v s: %d slots, want %d", step.at, n, step.want)
		}
	}
}

// Guards against a sign of a restart that leaves a server warm, and against a late report of an earlier incarnation that
// counts as a restart.
func TestRestartSignsPresumeCold(t *testing.T) {
	restartSigns := map[string]func(*fixture){
		"refused probe": func(b *fixture) { b.shard.HandleProbe(at(4), keeper.ProbeResult{Server: "w1", Refused: true}) },
		"new incarnation": func(b *fixture) {
			b.shard.HandleProbe(at(4), keeper.ProbeResult{Server: "w1", Answered: true, Incarnation: "i2"})
		},
		"reported incarnation": func(b *fixture) { b.ask(at(4), "y", 0, nil, balance.Report{Server: "w1", Incarnation: "i2", Good: 1}) },
		"reported down":        func(b *fixture) { b.ask(at(4), "y", 0, nil, balance.Report{Server: "w1", State: balance.Down}) },
		"sudden latency": func(b *fixture) {
			b.ask(at(3.9), "y", 0, nil, goodReport(10))
			b.ask(at(4), "y", 0, nil, balance.Report{Server: "w1", Good: 3, Latency: 90 * time.Millisecond})
		},
		"other address": func(b *fixture) {
			b.shard.SetServers(at(4), []keeper.Server{{Name: "w1", Address: "10.0.0.9:80", Slots: 6, ColdAllowance: 1}})
		},
	}
	for name, restart := range restartSigns {
		b := newFixture(t, []keeper.WarmServer{{Server: "w1", Incarnation: "i1"}}, worker("w1"))
		if n := grantedSlots(b.ask(at(3), "x", 4, nil)); n != 4 {
			t.Fatalf("%d slots of a warm server, want 4", n)
		}
		restart(b)
		if n := grantedSlots(b.ask(at(4.1), "x", 2, []keeper.HeldSlots{{Server: "w1", Slots: 4}})); n != 1 {
			t.Errorf("%s: %d slots, want the cold allowance", name, n)
		}
	}
	b := newFixture(t, []keeper.WarmServer{{Server: "w1", Incarnation: "i1"}}, worker("w1"))
	b.shard.HandleProbe(at(1), keeper.ProbeResult{Server: "w1", Answered: true, Incarnation: "i2"})
	b.ask(at(3), "x", 1, nil, goodReport(1))
	b.ask(at(3.1), "y", 0, nil, balance.Report{Server: "w1", Incarnation: "i1", State: balance.Down})
	if n := grantedSlots(b.ask(at(4.2), "x", 6, []keeper.HeldSlots{{Server: "w1", Slots: 1}}, goodReport(1))); n != 2 {
		t.Errorf("%d slots after a stale report, want the warm-up to continue with 2", n)
	}
}

// Guards against a reply that grants all slots to the first instance that asks, and against a leaving instance that keeps
// slots.
func TestGrantsComeInBatchesAndEndOnLeave(t *testing.T) {
	b := newFixture(t, []keeper.WarmServer{{Server: "w1"}}, worker("w1"))
	if n := grantedSlots(b.ask(at(3), "x", 6, nil)); n != keeper.GrantBatch {
		t.Errorf("%d slots in one reply, want %d", n, keeper.GrantBatch)
	}
	r, err := b.shard.HandleRequest(at(4), b.authority, keeper.Request{
		Holder: session.Identity{Instance: "x", Incarnation: 1}, Sequence: 9, Held: []keeper.HeldSlots{{Server: "w1", Slots: 4, Busy: 1}}, Leaving: true,
	})
	if err != nil || grantedSlots(r) != 0 {
		t.Errorf("a leaving instance got %+v, %v", r, err)
	}
}

// Guards against grants on a draining server, and against an outdated health endpoint that ends a drain.
func TestDrainingServerGetsNothing(t *testing.T) {
	b := newFixture(t, []keeper.WarmServer{{Server: "w1", Incarnation: "i1"}}, worker("w1"))
	b.ask(at(3), "y", 0, nil, balance.Report{Server: "w1", Incarnation: "i1", State: balance.Draining})
	for s := 4.0; s < 8; s++ {
		b.shard.HandleProbe(at(s), keeper.ProbeResult{Server: "w1", Answered: true, Incarnation: "i1", HasState: true, State: balance.Ready})
		if n := grantedSlots(b.ask(at(s), "x", 4, nil)); n != 0 {
			t.Fatalf("%d slots of a draining server at %v s", n, s)
		}
	}
	b.shard.HandleProbe(at(9), keeper.ProbeResult{Server: "w1", Answered: true, Incarnation: "i2", HasState: true, State: balance.Ready})
	if n := grantedSlots(b.ask(at(12), "x", 4, nil)); n != 1 {
		t.Errorf("%d slots after the restart, want the cold allowance", n)
	}
}

// Guards against an instance that keeps more than its fair share while others have demand, and against an instance that
// gets no slots.
func TestSlotsAreSharedFairly(t *testing.T) {
	b := newFixture(t, []keeper.WarmServer{{Server: "w1"}}, worker("w1"))
	held := map[string]int{}
	ask := func(s float64, holder string, want int) {
		r := b.ask(at(s), holder, want, []keeper.HeldSlots{{Server: "w1", Slots: held[holder]}})
		held[holder] = grantedSlots(r)
	}
	for s := 3.0; s < 4; s += 0.25 {
		ask(s, "x", 6)
	}
	if held["x"] != 6 {
		t.Fatalf("a lone instance holds %d of 6 slots", held["x"])
	}
	for s := 4.0; s < 6; s += 0.25 {
		for _, h := range []string{"x", "y", "z"} {
			ask(s, h, 6)
		}
	}
	if held["x"] != 2 || held["y"] != 2 || held["z"] != 2 {
		t.Errorf("slots %v, want 2 each", held)
	}
	slotRounds := map[string]int{}
	for s := 6.0; s < 66; s += 0.25 {
		for _, h := range []string{"x", "y", "z", "p", "q", "r", "s", "t"} {
			ask(s, h, 6)
			slotRounds[h] += held[h]
		}
	}
	for _, h := range []string{"x", "y", "z", "p", "q", "r", "s", "t"} {
		if slotRounds[h] < 90 { // the fair share of 240 rounds of 6 slots is 180; half of it allows for rotation
			t.Errorf("slots by instance %v: %s starves", slotRounds, h)
		}
	}
}

// Guards against a delayed request that returns slots in use, and against grants without authority.
func TestLateRequestAndLostAuthorityAreRefused(t *testing.T) {
	b := newFixture(t, nil, worker("w1"))
	x := session.Identity{Instance: "x", Incarnation: 1}
	if _, err := b.shard.HandleRequest(at(3), b.authority, keeper.Request{Holder: x, Sequence: 2, Want: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.shard.HandleRequest(at(3.1), b.authority, keeper.Request{Holder: x, Sequence: 1}); err == nil {
		t.Error("an overtaken request was accepted")
	}
	for _, a := range []session.Authority{{Generation: 1, ExpiresAt: at(3)}, {Generation: 2, ExpiresAt: at(9)}} {
		if r, err := b.shard.HandleRequest(at(4), a, keeper.Request{Holder: x, Sequence: 3, Want: 1}); err == nil {
			t.Errorf("authority %+v granted %+v", a, r)
		}
	}
}

// Guards against a reply that is used after its term, after a newer request, or from an earlier keeper.
func TestClientRefusesStaleReplies(t *testing.T) {
	c := keeper.NewClient(key, session.Identity{Instance: "x", Incarnation: 1})
	reply := func(epoch uint64) keeper.Reply { return keeper.Reply{Epoch: epoch, Term: keeper.LeaseTerm} }
	first, _ := c.NextRequest(at(0), balance.Demand{Want: 1}, false)
	c.HandleFailure(first.Sequence)
	second, _ := c.NextRequest(at(1), balance.Demand{Want: 1}, false)
	if _, ok := c.HandleReply(at(1.1), at(0), first.Sequence, reply(2)); ok {
		t.Error("used the reply to an abandoned request")
	}
	if l, ok := c.HandleReply(at(1.2), at(1), second.Sequence, reply(2)); !ok || !l.ExpiresAt.Equal(at(3)) {
		t.Errorf("leased %+v, want a term that starts when the request was sent", l)
	}
	third, _ := c.NextRequest(at(2), balance.Demand{Want: 1}, false)
	if _, ok := c.HandleReply(at(2.1), at(2), third.Sequence, reply(1)); ok {
		t.Error("used the reply of an earlier keeper")
	}
	fourth, _ := c.NextRequest(at(3), balance.Demand{Want: 1}, false)
	if _, ok := c.HandleReply(at(5), at(3), fourth.Sequence, reply(2)); ok {
		t.Error("used a reply after its term")
	}
}

// Guards against idle slots that are never returned to the keeper, and against needless exchanges.
func TestClientReturnsIdleSlots(t *testing.T) {
	c := keeper.NewClient(key, session.Identity{Instance: "x", Incarnation: 1})
	if _, ok := c.NextRequest(at(0), balance.Demand{}, false); ok {
		t.Error("sent a request without demand")
	}
	first, _ := c.NextRequest(at(1), balance.Demand{Want: 1}, false)
	c.HandleReply(at(1), at(1), first.Sequence, keeper.Reply{Epoch: 1, Term: keeper.LeaseTerm, Grants: []balance.SlotGrant{{Server: "w1", Slots: 1}}})
	second, ok := c.NextRequest(at(2), balance.Demand{}, false)
	if !ok {
		t.Error("idle slots are not returned")
	}
	c.HandleReply(at(2), at(2), second.Sequence, keeper.Reply{Epoch: 1, Term: keeper.LeaseTerm})
	if _, ok := c.NextRequest(at(3), balance.Demand{}, false); ok {
		t.Error("sent a request although all slots had been returned")
	}
	if _, ok := c.NextRequest(at(4), balance.Demand{Want: 2}, true); ok {
		t.Error("a leaving instance without slots sent a request")
	}
}

// Guards against two instances that take the same shard, and against a shard that no instance takes.
func TestServicesToTake(t *testing.T) {
	live := []member.Instance{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}}
	winner, _ := member.Rendezvous(key.String(), live)
	loser := live[0]
	if winner.Name == "a" {
		loser = live[1]
	}
	owner := func(i member.Instance, generation uint64) keeper.Owner {
		return keeper.Owner{Identity: session.Identity{Instance: i.Name, Incarnation: i.Incarnation}, Generation: generation}
	}
	record := func(generation uint64, state session.State) map[string]session.Record {
		return map[string]session.Record{loser.Name: {Generation: generation, State: state}}
	}
	held := keeper.Entry{Owner: owner(loser, 4), Epoch: 7}
	released := held
	released.Released = true
	cases := []struct {
		name     string
		entry    keeper.Entry
		self     keeper.Owner
		sessions map[string]session.Record
		owned    map[string]uint64
		want     bool
	}{
		{"unowned, winner", keeper.Entry{}, owner(winner, 1), nil, nil, true},
		{"unowned, loser", keeper.Entry{}, owner(loser, 1), nil, nil, false},
		{"released", released, owner(winner, 1), nil, nil, true},
		{"owner without a session record", held, owner(winner, 1), nil, nil, false},
		{"owner active", held, owner(winner, 1), record(4, session.Active), nil, false},
		{"owner fenced", held, owner(winner, 1), record(4, session.Fenced), nil, true},
		{"fence of an earlier session", held, owner(winner, 1), record(3, session.Fenced), nil, false},
		{"owner has a later session", held, owner(winner, 1), record(5, session.Active), nil, true},
		{"own", held, owner(loser, 4), nil, map[string]uint64{"intake": 7}, false},
		{"own, answer to the write lost", held, owner(loser, 4), nil, nil, true},
	}
	for _, c := range cases {
		table := keeper.Table{Zone: key.Zone, Entries: map[string]keeper.Entry{"intake": c.entry}}
		claims := table.ServicesToTake(c.self, c.owned, []string{"intake"}, live, c.sessions)
		if (len(claims) == 1) != c.want {
			t.Errorf("%s: shards to take %v", c.name, claims)
		}
		next := table.Take(c.self, claims).Entries["intake"]
		if c.want && (next.Epoch != c.entry.Epoch+1 || next.Owner != c.self || next.Released) {
			t.Errorf("%s: entry after taking the shard %+v", c.name, next)
		}
	}
}

// Guards against probes above the budget, more than one probe per second of one server, and servers that are never probed.
func TestProbesStayWithinBudget(t *testing.T) {
	p := keeper.NewProber(start, 3, 0)
	targets := []keeper.ProbeTarget{{Key: key, Server: "1"}, {Key: key, Server: "2"}, {Key: key, Server: "3"}, {Key: key, Server: "4"}}
	probes, last := map[string]int{}, map[string]time.Time{}
	sum := 0
	for s := 0.0; s < 60; s += 0.125 {
		for _, due := range p.Due(at(s), targets) {
			if probes[due.Server] > 0 && at(s).Sub(last[due.Server]) < time.Second {
				t.Fatalf("server %s probed twice within a second", due.Server)
			}
			probes[due.Server]++
			last[due.Server] = at(s)
			sum++
		}
	}
	if sum > 180 || sum < 170 || probes["4"] < 40 {
		t.Errorf("%d probes in 60 s at 3 per second: %v", sum, probes)
	}
}

// Guards against probes of a server beyond its interval when the budget has room for them: at most one per second, and
// fewer when the setting is longer.
func TestProbeIntervalHoldsWithSpareBudget(t *testing.T) {
	for interval, maxProbes := range map[time.Duration]int{0: 120, time.Second: 120, 10 * time.Second: 12} {
		p := keeper.NewProber(start, 30, interval)
		targets := []keeper.ProbeTarget{{Key: key, Server: "1"}, {Key: key, Server: "2"}}
		sum := 0
		for s := 0.0; s < 60; s += 0.125 {
			sum += len(p.Due(at(s), targets))
		}
		if sum > maxProbes || sum < maxProbes*9/10 {
			t.Errorf("interval %v: %d probes of 2 servers in 60 s, want %d", interval, sum, maxProbes)
		}
	}
}
