package node

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// commitBurst is how many writes of one partition may follow each other without waiting: the writes that the default
	// budget allows it in 0.2 s.
	commitBurst = 10
	// partitionsCapacity is the mailbox size of the partitions task. Claims and settlements are refused when it is full.
	partitionsCapacity = 1024
	// sealEntries is the number of entries at which the head is sealed. It keeps the head below 100 KB; an object may
	// hold 1 MB.
	sealEntries = 2000
	// pendingPerPartition bounds the messages that wait for a commit. It keeps a commit with a full head below 300 KB.
	pendingPerPartition = 4096
	// dropInterval is the interval at which partitions that this instance no longer owns are removed from memory.
	dropInterval = 10 * time.Second
	// claimsStopLimit bounds the time for finishing commits and settlements after the context has ended.
	claimsStopLimit = 5 * time.Second
	// drainLimit is the longest time in which a leaving instance finishes its requests.
	drainLimit = 30 * time.Second
)

// partitions is the task that keeps the partitions of once-only claims that this instance owns.
type partitions struct {
	self           once.Holder
	region         string
	settings       ClaimSettings
	api            objectapi.API
	view           func() *member.View
	regionSetCount func() int
	log            *slog.Logger

	inbox            *task.Mailbox[any]
	ended            chan struct{}
	limits           once.Limits
	openPartitions   map[string]*openPartition
	holderTracker    *once.HolderTracker
	chartsByInterval map[time.Duration]*once.Charts
	// lastTicket is the number of the last claim or settlement. claimReplies and settleReplies hold the
	// reply channels by ticket.
	lastTicket    uint64
	claimReplies  map[uint64]chan<- claimReply
	settleReplies map[uint64]chan<- bool
	callsInFlight int // object API calls
	stopping      bool
}

type openPartition struct {
	*once.Partition
	store claimStore
}

// Messages to the partitions task.
type (
	claimRequest struct {
		id    once.PartitionID
		claim once.ClaimRequest
		reply chan<- claimReply
	}
	settleRequest struct {
		id     once.PartitionID
		settle once.SettleRequest
		reply  chan<- bool
	}
	claimsStatusRequest struct{ reply chan<- ClaimsStatus }
	claimStoreResult    struct {
		partition *openPartition
		answer    once.StoreAnswer
		err       error
	}
)

// claimReply is the reply to a claim. If the verdict is NotOwner, owner is the name of the assumed owner.
type claimReply struct {
	once.Reply
	owner string
}

func newPartitions(options ClaimsOptions) *partitions {
	return &partitions{
		self: options.Self, region: options.Region, settings: options.Settings, api: options.API,
		view: options.View, regionSetCount: options.RegionSetCount,
		log: options.Log, inbox: task.NewMailbox[any]("claims", partitionsCapacity), ended: make(chan struct{}),
		openPartitions: map[string]*openPartition{}, holderTracker: once.NewHolderTracker(drainLimit),
		chartsByInterval: map[time.Duration]*once.Charts{},
		claimReplies:     map[uint64]chan<- claimReply{}, settleReplies: map[uint64]chan<- bool{},
		limits: once.Limits{
			MaxHeadEntries: sealEntries, MaxPending: pendingPerPartition,
			AnswerCacheBytes: options.Settings.KeptBytes / options.Settings.Partitions,
			WriteBurst:       commitBurst,
		},
	}
}

// claim sends a claim to the task of this instance. After an error the claim may still be handled.
func (s *partitions) claim(ctx context.Context, id once.PartitionID, c once.ClaimRequest) (claimReply, error) {
	reply := make(chan claimReply, 1)
	if err := s.inbox.Offer(claimRequest{id: id, claim: c, reply: reply}); err != nil {
		return claimReply{}, err
	}
	return awaitReply(ctx, s.ended, reply)
}

// settle sends a settlement to the task of this instance and reports whether it was recorded.
func (s *partitions) settle(ctx context.Context, id once.PartitionID, m once.SettleRequest) (bool, error) {
	reply := make(chan bool, 1)
	if err := s.inbox.Offer(settleRequest{id: id, settle: m, reply: reply}); err != nil {
		return false, err
	}
	return awaitReply(ctx, s.ended, reply)
}

// awaitReply returns the reply of a task, or an error if the context or the task ends first.
func awaitReply[R any](ctx context.Context, ended <-chan struct{}, reply <-chan R) (R, error) {
	var zero R
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-ended:
		return zero, context.Canceled
	}
}

// run is the body of the task. After the context has ended it finishes the work in flight, for at most claimsStopLimit.
func (s *partitions) run(ctx context.Context) error {
	defer close(s.ended)
	alarm := task.NewAlarm("partitions", s.log)
	defer alarm.Stop()
	drop := time.NewTicker(dropInterval)
	defer drop.Stop()
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var limit <-chan time.Time
	done := ctx.Done()
	for !s.stopping || s.callsInFlight > 0 || !s.quiet() {
		alarm.Set(s.nextTimeout())
		select {
		case m := <-s.inbox.C():
			s.handle(callCtx, m)
		case <-alarm.C():
			s.tick(callCtx)
		case <-drop.C:
			s.dropNotOwned()
		case <-done:
			done = nil
			s.stopping = true
			limit = time.After(claimsStopLimit)
		case <-limit:
			return nil
		}
	}
	return nil
}

// quiet reports whether no partition has anything in flight or waiting.
func (s *partitions) quiet() bool {
	for _, p := range s.openPartitions {
		if !p.CanUnload() {
			return false
		}
	}
	return true
}

// nextTimeout returns when the next timeout of a partition is due; zero if there is none.
func (s *partitions) nextTimeout() time.Time {
	var next time.Time
	for _, p := range s.openPartitions {
		if due, ok := p.Deadline(); ok && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

func (s *partitions) tick(ctx context.Context) {
	now, view := time.Now(), s.view()
	for _, p := range s.openPartitions {
		p.Tick(now, view)
		s.applyEffects(ctx, p)
	}
}

// dropNotOwned removes from memory the idle partitions that this instance no longer owns.
func (s *partitions) dropNotOwned() {
	view := s.view()
	for name, p := range s.openPartitions {
		owner, ok := p.store.id.Owner(view)
		if p.CanUnload() && (!ok || owner.Name != s.self.Instance) {
			delete(s.openPartitions, name)
		}
	}
}

func (s *partitions) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case claimRequest:
		s.handleClaim(ctx, m)
	case settleRequest:
		s.handleSettle(ctx, m)
	case claimStoreResult:
		s.handleStoreResult(ctx, m)
	case claimsStatusRequest:
		m.reply <- s.status()
	}
}

func (s *partitions) status() ClaimsStatus {
	var status ClaimsStatus
	for _, name := range slices.Sorted(maps.Keys(s.openPartitions)) {
		state, claims := s.openPartitions[name].State()
		status.Partitions = append(status.Partitions, PartitionStatus{Name: name, State: state, Claims: claims})
	}
	return status
}

func (s *partitions) handleClaim(ctx context.Context, m claimRequest) {
	view := s.view()
	p, owner := s.partition(m.id, view)
	if p == nil {
		m.reply <- claimReply{Reply: once.Reply{Verdict: once.NotOwner}, owner: owner}
		return
	}
	s.lastTicket++
	m.claim.Ticket = s.lastTicket
	s.claimReplies[s.lastTicket] = m.reply
	p.Claim(time.Now(), view, m.claim)
	s.applyEffects(ctx, p)
}

func (s *partitions) handleSettle(ctx context.Context, m settleRequest) {
	view := s.view()
	p, _ := s.partition(m.id, view)
	if p == nil {
		m.reply <- false
		return
	}
	s.lastTicket++
	m.settle.Ticket = s.lastTicket
	s.settleReplies[s.lastTicket] = m.reply
	p.Settle(time.Now(), view, m.settle)
	s.applyEffects(ctx, p)
}

func (s *partitions) handleStoreResult(ctx context.Context, m claimStoreResult) {
	s.callsInFlight--
	if m.err != nil {
		s.log.Warn("object API call for once-only claims failed", "partition", m.partition.store.id.Name(), "error", m.err)
	}
	if m.answer == nil {
		return
	}
	m.partition.HandleStoreAnswer(time.Now(), s.view(), m.answer)
	s.applyEffects(ctx, m.partition)
}

// partition returns the partition with the id and opens it if needed. If this instance is not the owner in the view, it
// returns nil and the name of the owner.
func (s *partitions) partition(id once.PartitionID, view *member.View) (*openPartition, string) {
	owner, ok := id.Owner(view)
	if s.stopping || !id.Allows(s.region) || !ok || owner.Name != s.self.Instance {
		return nil, owner.Name
	}
	name := id.Name()
	if p := s.openPartitions[name]; p != nil {
		return p, ""
	}
	bound, err := s.boundCharts()
	if err != nil {
		s.log.Error("partition of once-only claims cannot be opened", "partition", name, "error", err)
		return nil, ""
	}
	limits := s.limits
	limits.CommitInterval = s.commitInterval()
	p := &openPartition{Partition: bound.New(time.Now(), s.self, limits, s.holderTracker), store: claimStore{api: s.api, id: id}}
	s.openPartitions[name] = p
	return p, ""
}

// commitInterval returns the mean time between writes of one partition. The write budget is shared equally by the
// partitions of all sets of allowed regions.
func (s *partitions) commitInterval() time.Duration {
	partitionCount := s.settings.Partitions * max(1, s.regionSetCount())
	return time.Second * time.Duration(partitionCount) / time.Duration(s.settings.WritesPerSecond)
}

// boundCharts returns the charts for the current commit interval. It caches them by interval.
func (s *partitions) boundCharts() (*once.Charts, error) {
	interval := s.commitInterval()
	if cached := s.chartsByInterval[interval]; cached != nil {
		return cached, nil
	}
	partition, err := charts.Load("partition", charts.Params{"commit_interval": interval})
	if err != nil {
		return nil, err
	}
	claim, err := charts.Load("claim", nil)
	if err != nil {
		return nil, err
	}
	bound, err := once.BindCharts(partition, claim)
	if err == nil {
		s.chartsByInterval[interval] = bound
	}
	return bound, err
}

// applyEffects sends the replies that a partition has produced and starts its object API calls.
func (s *partitions) applyEffects(ctx context.Context, p *openPartition) {
	for _, e := range p.Effects() {
		switch e := e.(type) {
		case once.Reply:
			answerTicket(s.claimReplies, e.Ticket, claimReply{Reply: e})
		case once.Confirmation:
			answerTicket(s.settleReplies, e.Ticket, e.Recorded)
		default:
			s.callStore(ctx, p, e)
		}
	}
}

// answerTicket sends the answer for a ticket, at most once. It does not block: the channel has a buffer of one.
func answerTicket[R any](replies map[uint64]chan<- R, ticket uint64, answer R) {
	if reply, ok := replies[ticket]; ok {
		delete(replies, ticket)
		reply <- answer
	}
}

// callStore executes an effect against the object API in its own goroutine, which sends the result to the mailbox.
func (s *partitions) callStore(ctx context.Context, p *openPartition, e once.Effect) {
	s.callsInFlight++
	go func() {
		answer, err := p.store.execute(ctx, e)
		s.inbox.SendUntil(s.ended, claimStoreResult{partition: p, answer: answer, err: err})
	}()
}
