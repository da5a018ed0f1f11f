package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// coldAllowance is the cold allowance of the only server in the histories. The server never answers, so it stays cold.
const coldAllowance = 4

// faults are seeded faults that the checker must detect.
type faults struct {
	// oldKeeperStaysActive lets a replaced keeper continue to grant slots.
	oldKeeperStaysActive bool
	// newKeeperSkipsGrace lets a new keeper grant slots before leases of the earlier keeper have expired.
	newKeeperSkipsGrace bool
	// holderIgnoresTerm lets a holder use a lease after its term.
	holderIgnoresTerm bool
	// acceptsOvertaken lets the keeper accept a request that arrives after a later request of the same holder.
	acceptsOvertaken bool
}

// leaseHolder is an instance that uses its leases.
type leaseHolder struct {
	client *keeper.Client
	lease  balance.ShardLease
	// reportedHeld is how many held slots the last request reported. The instance uses no more until the reply.
	reportedHeld int
	// sequence is the sequence of the last request.
	sequence uint64
	// pausedUntil is the end of a pause in which the instance sends and receives nothing. It may still use its lease.
	pausedUntil time.Time
}

func (h *leaseHolder) slots(now time.Time, f faults) int {
	if !f.holderIgnoresTerm && !now.Before(h.lease.ExpiresAt) {
		return 0
	}
	sum := 0
	for _, g := range h.lease.Grants {
		sum += g.Slots
	}
	return min(sum, h.reportedHeld)
}

// message is a lease request in flight, or the reply to it.
type message struct {
	holder *leaseHolder
	sent   time.Time
	req    keeper.Request
	reply  keeper.Reply
}

// history is one random sequence of exchanges between holders and successive keepers.
type history struct {
	t          *testing.T
	leaseChart *keeper.Chart
	rnd        *rand.Rand
	faults     faults
	now        time.Time
	keepers    []*fixture
	holders    []*leaseHolder
	// requests and replies are in flight. They arrive in any order, late or never.
	requests, replies []message
	accepted          uint64
}

func (h *history) newKeeper() {
	b := &fixture{t: h.t, authority: session.Authority{ExpiresAt: at(1e6)}}
	if n := len(h.keepers); n > 0 && !h.faults.oldKeeperStaysActive {
		h.keepers[n-1].authority.ExpiresAt = h.now
	}
	generation := uint64(len(h.keepers) + 1)
	taken := h.now
	if h.faults.newKeeperSkipsGrace {
		taken = taken.Add(-keeper.GracePeriod)
	}
	b.authority.Generation = generation
	b.shard = keeper.NewShard(h.leaseChart, taken, key, keeper.Entry{Owner: keeper.Owner{Generation: generation}, Epoch: generation},
		[]keeper.Server{{Name: "w1", Address: "10.0.0.1:80", Slots: 6, ColdAllowance: coldAllowance}}, nil)
	h.keepers = append(h.keepers, b)
}

// sendRequest sends a lease request that keeps a random part of the slots, unless an exchange is in flight or the holder
// is paused.
func (h *history) sendRequest(holder *leaseHolder) {
	if _, free := holder.client.NextExchange(); !free || h.now.Before(holder.pausedUntil) {
		return
	}
	d := balance.Demand{Want: h.rnd.IntN(5)}
	holder.reportedHeld = h.rnd.IntN(holder.slots(h.now, h.faults) + 1)
	if holder.reportedHeld > 0 {
		d.Held = []balance.HeldSlots{{Server: "w1", Slots: holder.reportedHeld}}
	}
	if req, ok := holder.client.NextRequest(h.now, d, false); ok {
		holder.sequence = req.Sequence
		h.requests = append(h.requests, message{holder: holder, sent: h.now, req: req})
	}
}

func takeRandom(rnd *rand.Rand, list *[]message) (message, bool) {
	if len(*list) == 0 {
		return message{}, false
	}
	i := rnd.IntN(len(*list))
	m := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return m, true
}

// answerRequest delivers a random request to the current keeper or, less often, to the one before it.
func (h *history) answerRequest() {
	m, ok := takeRandom(h.rnd, &h.requests)
	if !ok {
		return
	}
	req := m.req
	if h.faults.acceptsOvertaken {
		h.accepted++
		req.Sequence = h.accepted
	}
	b := h.keepers[len(h.keepers)-1]
	if len(h.keepers) > 1 && h.rnd.IntN(4) == 0 {
		b = h.keepers[len(h.keepers)-2]
	}
	reply, err := b.shard.HandleRequest(h.now, b.authority, req)
	if err != nil {
		m.holder.client.HandleFailure(m.req.Sequence)
		return
	}
	m.reply = reply
	h.replies = append(h.replies, m)
}

// receiveReply delivers a random reply, unless its holder is paused.
func (h *history) receiveReply() {
	m, ok := takeRandom(h.rnd, &h.replies)
	if !ok {
		return
	}
	if h.now.Before(m.holder.pausedUntil) {
		h.replies = append(h.replies, m)
		return
	}
	lease, ok := m.holder.client.HandleReply(h.now, m.sent, m.req.Sequence, m.reply)
	if ok {
		m.holder.lease, m.holder.reportedHeld = lease, 6
	}
}

// run plays one history and returns an error at the first step that exceeds the cold allowance.
func run(t *testing.T, leaseChart *keeper.Chart, seed uint64, f faults) error {
	h := &history{t: t, leaseChart: leaseChart, rnd: rand.New(rand.NewPCG(seed, 0)), faults: f, now: start}
	for _, name := range []string{"x", "y", "z"} {
		h.holders = append(h.holders, &leaseHolder{client: keeper.NewClient(key, session.Identity{Instance: name, Incarnation: 1})})
	}
	h.newKeeper()
	for step := range 1000 {
		h.now = h.now.Add(time.Duration(h.rnd.IntN(60)) * time.Millisecond)
		holder := h.holders[h.rnd.IntN(len(h.holders))]
		switch p := h.rnd.IntN(1000); {
		case p < 300:
			h.sendRequest(holder)
		case p < 550:
			h.answerRequest()
		case p < 800:
			h.receiveReply()
		case p < 985:
			holder.client.HandleFailure(holder.sequence)
		case p < 996:
			holder.pausedUntil = h.now.Add(time.Duration(h.rnd.IntN(5000)) * time.Millisecond)
		default:
			h.newKeeper()
		}
		used := 0
		for _, holder := range h.holders {
			used += holder.slots(h.now, f)
		}
		if used > coldAllowance {
			return fmt.Errorf("seed %d, step %d, %v: %d slots of a cold server in use, allowance %d", seed, step, h.now.Sub(start), used, coldAllowance)
		}
	}
	return nil
}

const seeds = 1000

// Guards against cold grants that exceed the allowance in total over all instances when requests and replies are delayed,
// lost or reordered and keepers are replaced.
func TestColdGrantsStayWithinAllowance(t *testing.T) {
	bound := bindChart(t)
	for seed := range uint64(seeds) {
		if err := run(t, bound, seed, faults{}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a checker that detects nothing: each seeded fault must be detected.
func TestCheckerDetectsSeededFaults(t *testing.T) {
	bound := bindChart(t)
	for name, f := range map[string]faults{
		"old keeper stays active":     {oldKeeperStaysActive: true},
		"new keeper skips grace":      {newKeeperSkipsGrace: true},
		"holder ignores its term":     {holderIgnoresTerm: true},
		"overtaken requests accepted": {acceptsOvertaken: true},
	} {
		if !detected(t, bound, f) {
			t.Errorf("%s: not detected in %d histories", name, seeds)
		}
	}
}

func detected(t *testing.T, leaseChart *keeper.Chart, f faults) bool {
	for seed := range uint64(seeds) {
		if run(t, leaseChart, seed, f) != nil {
			return true
		}
	}
	return false
}
