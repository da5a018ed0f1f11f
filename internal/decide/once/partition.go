package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// Limits bounds the memory and the object writes of one partition.
type Limits struct {
	// SealEntries is the number of entries at which the head is sealed at the latest.
	SealEntries int
	// Pending is the maximum number of messages that wait for a commit, or for the partition to be loaded.
	Pending int
	// KeptBytes is the maximum size of the cached answers.
	KeptBytes int
	// CommitInterval is the mean time between writes that the write budget allows, and Burst the number of writes that may
	// follow each other without waiting. If Burst is zero, every write waits for the interval.
	CommitInterval time.Duration
	Burst          int
}

// Charts holds the bound charts that all partitions of a process share.
type Charts struct {
	partition *chart.Bound[*Partition]
	claims    *claimChart
	states    states
}

// BindCharts binds charts/partition.toml and charts/claim.toml.
func BindCharts(partition, claim *chart.Chart) (*Charts, error) {
	bound, err := bindPartition(partition)
	if err != nil {
		return nil, err
	}
	claims, err := bindClaim(claim)
	if err != nil {
		return nil, err
	}
	return &Charts{partition: bound, claims: claims, states: indexStates(claim)}, nil
}

// Partition is the state of a partition at the instance that assumes to own it. It belongs to one task, which carries out
// the effects and passes in the answers of the object API.
type Partition struct {
	self    Holder
	limits  Limits
	peers   *Peers
	claims  *claimChart
	states  states
	machine *chart.Machine[*Partition]
	now     time.Time
	view    *member.View
	effects []Effect
	budget  budget

	// waiting holds Claim and Settle messages that arrived while the partition is not owned.
	waiting []any

	records map[Digest]record
	holders []Holder
	indexOf map[Holder]uint32
	expires map[uint32][]Digest // by expiryBucket
	swept   uint32              // first bucket that is not swept yet
	answers *answers
	inHead  []Digest // claims whose newest entry is in the head, not in a segment

	// next holds the claims of the next commit, confirms the tickets of its settlements. changed is true if there is
	// anything to commit.
	next     []pending
	confirms []uint64
	changed  bool
	commit   *commit
	entries  []Entry // buffer reused by commits
	segments []SegmentRef
	deleting map[uint64]bool
	version  uint64
	sequence uint64
	// writtenClock is the clock of the last head written. The partition clock was clockBase at the time clockFrom.
	writtenClock uint64
	clockBase    uint64
	clockFrom    time.Time

	// read is the last head read; the fields after it are the state of the segment reads.
	read       HeadRead
	collected  map[uint64]SegmentRead
	toCollect  []SegmentRef
	collecting int
}

// pending is a claim that waits for its commit. Its ticket is zero once the claim is answered.
type pending struct {
	digest Digest
	ticket uint64
}

// expiryBucketSeconds is the width of the buckets by which expired claims are removed.
const expiryBucketSeconds = 60

// New returns a partition that is not loaded.
func (c *Charts) New(now time.Time, self Holder, limits Limits, peers *Peers) *Partition {
	p := &Partition{self: self, limits: limits, peers: peers, claims: c.claims, states: c.states, now: now, budget: newBudget(now, limits)}
	p.clear()
	p.machine = c.partition.New(now, p)
	return p
}

func bindPartition(ch *chart.Chart) (*chart.Bound[*Partition], error) {
	return chart.Bind(ch, chart.Bindings[*Partition]{
		Guards: map[string]func(*Partition) bool{
			"has_segments":              func(p *Partition) bool { return len(p.read.Head.Segments) > 0 },
			"segments_remain":           func(p *Partition) bool { return len(p.toCollect)+p.collecting > 0 },
			"own_write":                 (*Partition).ownWrite,
			"head_unchanged":            func(p *Partition) bool { return p.read.Version == p.version },
			"head_full":                 (*Partition).headFull,
			"claims_wait":               func(p *Partition) bool { return len(p.next) > 0 },
			"claims_wait_and_head_full": func(p *Partition) bool { return len(p.next) > 0 && p.headFull() },
			"changed":                   func(p *Partition) bool { return p.changed },
			"has_waiting":               func(p *Partition) bool { return len(p.waiting) > 0 },
		},
		Actions: map[string]func(*Partition){
			"read_head":      func(p *Partition) { p.emit(ReadHead{}) },
			"read_segments":  (*Partition).readSegments,
			"adopt":          (*Partition).adopt,
			"freeze":         (*Partition).freeze,
			"freeze_sealed":  (*Partition).freezeSealed,
			"write_segment":  (*Partition).writeSegment,
			"write_head":     (*Partition).writeHead,
			"keep_version":   func(p *Partition) { p.version = p.read.Version },
			"commit_done":    (*Partition).commitDone,
			"serve_waiting":  (*Partition).serveWaiting,
			"refuse_waiting": (*Partition).refuseWaiting,
			"forget":         (*Partition).forget,
			"abandon":        (*Partition).abandon,
		},
	})
}

// Claim handles a request for a claim. The Reply may follow in a later call.
func (p *Partition) Claim(now time.Time, view *member.View, c Claim) {
	p.begin(now, view)
	if !p.machine.In("owned") {
		p.wait(c, c.Ticket)
		return
	}
	p.claim(c)
	if len(p.next) > 0 {
		p.event("work")
		p.useCredit()
	}
}

// Settle handles the outcome of a claim. The Confirmation follows the commit that records it.
func (p *Partition) Settle(now time.Time, view *member.View, s Settle) {
	p.begin(now, view)
	if !p.machine.In("owned") {
		p.wait(s, 0)
		return
	}
	p.settle(s)
	if p.changed {
		p.event("settlement")
	}
}

// Answer handles an answer of the object API.
func (p *Partition) Answer(now time.Time, view *member.View, a StoreAnswer) {
	p.begin(now, view)
	switch a := a.(type) {
	case HeadRead:
		p.headRead(a)
	case SegmentRead:
		p.segmentRead(a)
	case Written:
		p.version = p.writtenVersion(a)
		p.event("written")
	case StoreFailed:
		p.event("failed")
	case SegmentDeleted:
		p.segmentDeleted(a)
	}
	p.useCredit()
}

// useCredit starts a write without waiting for the interval if the write budget allows one.
func (p *Partition) useCredit() {
	if p.budget.allows(p.now) {
		p.event("credit")
	}
}

// Deadline returns the time of the next timeout, and false if none is set.
func (p *Partition) Deadline() (time.Time, bool) { return p.machine.Deadline() }

// Tick handles the timeouts that are due.
func (p *Partition) Tick(now time.Time, view *member.View) {
	p.begin(now, view)
	p.machine.Tick(now)
}

// Effects returns and clears the effects that the owning task must carry out.
func (p *Partition) Effects() []Effect {
	effects := p.effects
	p.effects = nil
	return effects
}

// Quiet reports whether nothing is in flight or waiting, so that the partition may be dropped from memory.
func (p *Partition) Quiet() bool {
	return len(p.waiting) == 0 && (p.machine.State() == "idle" || p.machine.State() == "unloaded")
}

// State returns the current state of charts/partition.toml and the number of claims in memory.
func (p *Partition) State() (string, int) { return p.machine.State(), len(p.records) }

func (p *Partition) begin(now time.Time, view *member.View) {
	p.now, p.view = now, view
	if p.machine.In("owned") {
		p.sweep()
	}
}

func (p *Partition) event(name string) {
	if err := p.machine.Fire(p.now, name); err != nil {
		panic(err) // the events are constants of this package, so a failure is a programming error
	}
}

func (p *Partition) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Partition) reply(ticket uint64, v Verdict, answer *call.Answer) {
	if ticket != 0 {
		p.emit(Reply{Ticket: ticket, Verdict: v, Answer: answer})
	}
}

// wait queues a message until the partition is owned, and refuses it if the queue is full.
func (p *Partition) wait(m any, claimTicket uint64) {
	if len(p.waiting) >= p.limits.Pending {
		p.refuse(m, Refused)
		return
	}
	p.waiting = append(p.waiting, m)
	if claimTicket != 0 {
		p.event("work")
		return
	}
	p.event("settlement")
}

// refuse answers a message without handling it.
func (p *Partition) refuse(m any, v Verdict) {
	switch m := m.(type) {
	case Claim:
		p.reply(m.Ticket, v, nil)
	case Settle:
		p.emit(Confirmation{Ticket: m.Ticket})
	}
}

func (p *Partition) refuseWaiting() {
	verdict := Refused
	if p.machine.State() == "lost" {
		verdict = NotOwner
	}
	for _, m := range p.waiting {
		p.refuse(m, verdict)
	}
	p.waiting = nil
}

func (p *Partition) serveWaiting() {
	waiting := p.waiting
	p.waiting = nil
	for _, m := range waiting {
		switch m := m.(type) {
		case Claim:
			p.claim(m)
		case Settle:
			p.settle(m)
		}
	}
}

func (p *Partition) claim(c Claim) {
	if len(p.next) >= p.limits.Pending {
		p.reply(c.Ticket, Refused, nil)
		return
	}
	p.expire(c.Digest)
	p.fire("claim", step{
		now: p.now, digest: c.Digest, check: c.Check, window: c.Window, holder: c.Holder, attempt: c.Attempt,
		ticket: c.Ticket, view: p.view,
	})
}

var settleEvents = map[Settlement]string{Released: "settle_released", Answered: "settle_answered", Unknown: "settle_unknown"}

func (p *Partition) settle(s Settle) {
	event, ok := settleEvents[s.Settlement]
	if !ok {
		p.emit(Confirmation{Ticket: s.Ticket})
		return
	}
	p.fire(event, step{
		now: p.now, digest: s.Digest, check: s.Check, window: s.Window, holder: s.Holder, attempt: s.Attempt,
		view: p.view, answer: s.Answer,
	})
	if !p.changed && p.commit == nil {
		p.emit(Confirmation{Ticket: s.Ticket, Recorded: true})
		return
	}
	p.changed = true
	p.confirms = append(p.confirms, s.Ticket)
}
