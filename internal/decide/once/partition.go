package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// Limits bounds the memory and the object writes of one partition.
type Limits struct {
	// MaxHeadEntries is the number of entries at which the head is sealed at the latest.
	MaxHeadEntries int
	// MaxPending is the maximum number of messages that wait for a commit, or for the partition to be loaded.
	MaxPending int
	// AnswerCacheBytes is the maximum size of the cached answers.
	AnswerCacheBytes int
	// CommitInterval is the mean time between writes that the write budget allows, and WriteBurst the number of writes
	// that may follow each other without waiting. If WriteBurst is zero, every write waits for the interval.
	CommitInterval time.Duration
	WriteBurst     int
}

// Charts holds the bound charts that all partitions of a process share.
type Charts struct {
	partitionChart *chart.Bound[*Partition]
	claimChart     *claimChart
	states         claimStates
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
	return &Charts{partitionChart: bound, claimChart: claims, states: indexClaimStates(claim)}, nil
}

// Partition is the state of a partition at the instance that assumes to own it. It belongs to one task, which carries out
// the effects and passes in the answers of the object API.
type Partition struct {
	self          Holder
	limits        Limits
	holderTracker *HolderTracker
	claimChart    *claimChart
	states        claimStates
	machine       *chart.Machine[*Partition]
	now           time.Time
	view          *member.View
	effects       []Effect
	budget        writeBudget

	// waiting holds the ClaimRequest and SettleRequest messages that wait until the partition is owned.
	waiting []any

	records       map[Digest]record
	holders       []Holder
	holderIndex   map[Holder]uint32
	expiryBuckets map[uint32][]Digest // by expiry time / expiryBucketSeconds
	nextBucket    uint32              // first bucket that is not swept yet
	answers       *answerCache
	headDigests   []Digest // claims whose newest entry is in the head, not in a segment

	// nextClaims holds the claims of the next commit and confirmTickets the tickets of its settlements. hasChanges is true
	// if there is anything to commit.
	nextClaims        []pendingClaim
	confirmTickets    []uint64
	hasChanges        bool
	commit            *commit
	entryBuffer       []Entry // buffer reused by commits
	segments          []SegmentRef
	deletionsInFlight map[uint64]bool // numbers of the expired segments whose deletion was requested
	// version and sequence are the object version and the sequence number of the head.
	version  uint64
	sequence uint64
	// writtenClock is the clock of the last head written. The partition clock was clockBase at the time clockFrom.
	writtenClock uint64
	clockBase    uint64
	clockFrom    time.Time

	// lastHeadRead is the result of the last head read. The fields below it track the reads of the segments that this head
	// refers to.
	lastHeadRead   HeadRead
	segmentsRead   map[uint64]SegmentRead
	segmentsToRead []SegmentRef
	readsInFlight  int
}

// pendingClaim is a claim that waits for its commit. Its ticket is zero once the claim is answered.
type pendingClaim struct {
	digest Digest
	ticket uint64
}

// expiryBucketSeconds is the width of the buckets by which expired claims are removed.
const expiryBucketSeconds = 60

// New returns a partition that is not loaded.
func (c *Charts) New(now time.Time, self Holder, limits Limits, holders *HolderTracker) *Partition {
	p := &Partition{self: self, limits: limits, holderTracker: holders, claimChart: c.claimChart, states: c.states, now: now, budget: newWriteBudget(now, limits)}
	p.reset()
	p.machine = c.partitionChart.New(now, p)
	return p
}

func bindPartition(ch *chart.Chart) (*chart.Bound[*Partition], error) {
	return chart.Bind(ch, chart.Bindings[*Partition]{
		Guards: map[string]func(*Partition) bool{
			"has_segments":                     func(p *Partition) bool { return len(p.lastHeadRead.Head.Segments) > 0 },
			"segments_outstanding":             func(p *Partition) bool { return len(p.segmentsToRead)+p.readsInFlight > 0 },
			"head_is_own_write":                (*Partition).headIsOwnWrite,
			"head_unchanged":                   func(p *Partition) bool { return p.lastHeadRead.Version == p.version },
			"head_full":                        (*Partition).headFull,
			"has_pending_claims":               func(p *Partition) bool { return len(p.nextClaims) > 0 },
			"has_pending_claims_and_head_full": func(p *Partition) bool { return len(p.nextClaims) > 0 && p.headFull() },
			"has_changes":                      func(p *Partition) bool { return p.hasChanges },
			"has_waiting_messages":             func(p *Partition) bool { return len(p.waiting) > 0 },
		},
		Actions: map[string]func(*Partition){
			"read_head":            func(p *Partition) { p.emit(ReadHead{}) },
			"read_segments":        (*Partition).readSegments,
			"restore":              (*Partition).restore,
			"build_commit":         (*Partition).buildCommit,
			"build_sealing_commit": (*Partition).buildSealingCommit,
			"write_segment":        (*Partition).writeSegment,
			"write_head":           (*Partition).writeHead,
			"take_head_version":    func(p *Partition) { p.version = p.lastHeadRead.Version },
			"complete_commit":      (*Partition).completeCommit,
			"handle_waiting":       (*Partition).handleWaiting,
			"refuse_waiting":       (*Partition).refuseWaiting,
			"drop_state":           (*Partition).dropState,
			"abandon_pending":      (*Partition).abandonPending,
		},
	})
}

// Claim handles a request for a claim. The Reply may follow in a later call.
func (p *Partition) Claim(now time.Time, view *member.View, c ClaimRequest) {
	p.begin(now, view)
	if !p.machine.In("owned") {
		p.enqueue(c, c.Ticket)
		return
	}
	p.handleClaim(c)
	if len(p.nextClaims) > 0 {
		p.fireEvent("claim_pending")
		p.writeIfAllowed()
	}
}

// Settle handles the outcome of a claim. The Confirmation follows the commit that records it.
func (p *Partition) Settle(now time.Time, view *member.View, s SettleRequest) {
	p.begin(now, view)
	if !p.machine.In("owned") {
		p.enqueue(s, 0)
		return
	}
	p.handleSettle(s)
	if p.hasChanges {
		p.fireEvent("settlement_pending")
	}
}

// HandleStoreAnswer handles an answer of the object API.
func (p *Partition) HandleStoreAnswer(now time.Time, view *member.View, a StoreAnswer) {
	p.begin(now, view)
	switch a := a.(type) {
	case HeadRead:
		p.handleHeadRead(a)
	case SegmentRead:
		p.handleSegmentRead(a)
	case Written:
		p.version = p.writtenVersion(a)
		p.fireEvent("written")
	case StoreFailed:
		p.fireEvent("store_failed")
	case SegmentDeleted:
		p.handleSegmentDeleted(a)
	}
	p.writeIfAllowed()
}

// writeIfAllowed starts a write without waiting for the interval if the write budget allows one.
func (p *Partition) writeIfAllowed() {
	if p.budget.allows(p.now) {
		p.fireEvent("write_allowed")
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

// CanUnload reports whether nothing is in flight or waiting, so that the partition may be dropped from memory.
func (p *Partition) CanUnload() bool {
	return len(p.waiting) == 0 && (p.machine.State() == "idle" || p.machine.State() == "unloaded")
}

// State returns the current state of charts/partition.toml and the number of claims in memory.
func (p *Partition) State() (string, int) { return p.machine.State(), len(p.records) }

// begin sets the time and the membership view of a call and removes expired claims.
func (p *Partition) begin(now time.Time, view *member.View) {
	p.now, p.view = now, view
	if p.machine.In("owned") {
		p.sweep()
	}
}

func (p *Partition) fireEvent(name string) {
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

// enqueue keeps a message until the partition is owned, or refuses it if the queue is full.
func (p *Partition) enqueue(m any, claimTicket uint64) {
	if len(p.waiting) >= p.limits.MaxPending {
		p.refuse(m, Refused)
		return
	}
	p.waiting = append(p.waiting, m)
	if claimTicket != 0 {
		p.fireEvent("claim_pending")
		return
	}
	p.fireEvent("settlement_pending")
}

// refuse answers a message without handling it.
func (p *Partition) refuse(m any, v Verdict) {
	switch m := m.(type) {
	case ClaimRequest:
		p.reply(m.Ticket, v, nil)
	case SettleRequest:
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

func (p *Partition) handleWaiting() {
	waiting := p.waiting
	p.waiting = nil
	for _, m := range waiting {
		switch m := m.(type) {
		case ClaimRequest:
			p.handleClaim(m)
		case SettleRequest:
			p.handleSettle(m)
		}
	}
}

func (p *Partition) handleClaim(c ClaimRequest) {
	if len(p.nextClaims) >= p.limits.MaxPending {
		p.reply(c.Ticket, Refused, nil)
		return
	}
	p.removeIfExpired(c.Digest)
	p.fireClaimEvent("claim", claimEvent{
		now: p.now, digest: c.Digest, check: c.Check, window: c.Window, holder: c.Holder, attempt: c.Attempt,
		ticket: c.Ticket, view: p.view,
	})
}

var settleEvents = map[Settlement]string{Released: "settle_released", Answered: "settle_answered", Unknown: "settle_unknown"}

func (p *Partition) handleSettle(s SettleRequest) {
	event, ok := settleEvents[s.Settlement]
	if !ok {
		p.emit(Confirmation{Ticket: s.Ticket})
		return
	}
	p.fireClaimEvent(event, claimEvent{
		now: p.now, digest: s.Digest, check: s.Check, window: s.Window, holder: s.Holder, attempt: s.Attempt,
		view: p.view, answer: s.Answer,
	})
	if !p.hasChanges && p.commit == nil {
		p.emit(Confirmation{Ticket: s.Ticket, Recorded: true})
		return
	}
	p.hasChanges = true
	p.confirmTickets = append(p.confirmTickets, s.Ticket)
}
