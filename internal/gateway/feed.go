package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/suspension"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// minBackoff is the initial backoff after a failed call, well above the 4 ms that a call of the store takes.
	minBackoff = 150 * time.Millisecond
	// maxBackoff is the maximum backoff. A longer one could use up half of the 2 s in which a configuration must be in force
	// after an outage of the store.
	maxBackoff = 900 * time.Millisecond
	// outageBackoff is the backoff of the other feeds while the feed of backend servers checks whether the store is back.
	outageBackoff = 5 * time.Second
)

// pace determines how often the changes of a kind are read. Each call of the store is billed, also one that waits.
type pace struct {
	// wait is how long the store holds a call until there is a change; with zero it answers at once.
	wait time.Duration
	// interval is the minimum time between the starts of two calls.
	interval time.Duration
}

// followedKinds are the kinds of objects that an instance follows.
var followedKinds = []objectapi.Kind{objectapi.Configuration, objectapi.Evacuations, objectapi.Backends,
	objectapi.Instances, objectapi.Strikes}

// rarePace applies to kinds that change rarely, instancePace to instances, whose changes may be noticed late. If the store
// stops answering during such a long call, keep-alive probes and the feed of backend servers detect it.
var (
	rarePace     = pace{wait: 8 * time.Second, interval: 100 * time.Millisecond}
	instancePace = pace{wait: 10 * time.Second, interval: 1500 * time.Millisecond}
)

// paceOf returns the pace of a kind. Backend servers are read often and without waiting: the age of an answer counts from
// the start of its call, so an answer that was waited for would already be as old as the wait. The data on backend servers
// must not become older than the period.
func paceOf(kind objectapi.Kind, period time.Duration) pace {
	if kind == objectapi.Backends {
		return pace{interval: period}
	}
	if kind == objectapi.Instances {
		return instancePace
	}
	return rarePace
}

// kindUpdate is an update of one kind of objects, from the store or from a peer.
type kindUpdate struct {
	kind objectapi.Kind
	// complete is true if events holds all objects of the kind; otherwise it holds the changes after base.
	complete bool
	events   []objectapi.Event
	base     objectapi.Position
	// position is where the objects are current. Its era is zero if neither the store nor the peer named one.
	position objectapi.Position
	// disproved is a position that the store had not reached before the list was read; zero if there is none.
	disproved objectapi.Position
	// asOf is when the call of the store began; its answer is at least as recent.
	asOf time.Time
	// suspendedAtCall is how long the machine had been suspended in total at that time.
	suspendedAtCall time.Duration
	// reader is the instance that called the store.
	reader string
	// reply receives what the board knows after the update; nil if nobody waits for it.
	reply chan<- updateReply
}

// updateReply is the answer of the board to an update of a feed.
type updateReply struct {
	// known is the position that the board knows.
	known objectapi.Position
	// mustList is true if that is of an earlier era than the store's, so that all objects have to be listed.
	mustList bool
}

// storeLostEvent and storeReturnEvent report to the board that the store does not answer a feed, or answers it again.
type (
	storeLostEvent   struct{ kind objectapi.Kind }
	storeReturnEvent struct{ kind objectapi.Kind }
)

// historyLostEvent reports to the board that the store no longer holds the changes of a kind since the last call.
type historyLostEvent struct{ kind objectapi.Kind }

// assignment instructs a feed whether to read the store, and from which position.
type assignment struct {
	active   bool
	position objectapi.Position
}

// feed is the task that follows one kind of objects in the store. It is the context of charts/feed.toml.
type feed struct {
	kind    objectapi.Kind
	pace    pace
	name    string
	store   Store
	board   *task.Mailbox[any]
	log     *slog.Logger
	machine *chart.Machine[*feed]
	// assignments holds the newest assignment until the feed takes it.
	assignments chan assignment
	// interrupt ends a pending call or wait: there is a new assignment, or the store answers another feed and may never answer
	// the pending call.
	interrupt chan struct{}
	// doubt signals that changes may have been missed, so that all objects are listed again.
	doubt chan struct{}

	// step is the next call or wait. It returns the chart event with which it ended.
	step     func(ctx context.Context) string
	position objectapi.Position
	// callStart is when the last call began.
	callStart time.Time
	// suspendedAtCall is how long the machine had been suspended in total at that time.
	suspendedAtCall time.Duration
	totalSuspension func() time.Duration
	// failures counts the calls without an answer since the last answer.
	failures int
	// unreadable counts the answers that could not be used since the last changes that could.
	unreadable int
	// disproved is a position after which changes were read and that the store has not reached.
	disproved objectapi.Position
	// newestStatus is what the feed waits for. The feed stores it; any task may read it.
	newestStatus atomic.Pointer[feedStatus]
	// noWait is true if the next call asks for an answer at once, since the last one was interrupted.
	noWait bool
}

// feedStatus is what a feed waits for, and since when. It is immutable.
type feedStatus struct {
	// waitsFor is "assignment", "list", "changes" or "backoff".
	waitsFor string
	since    time.Time
}

// status returns what the feed waits for.
func (f *feed) status() feedStatus {
	if s := f.newestStatus.Load(); s != nil {
		return *s
	}
	return feedStatus{}
}

func (f *feed) setStatus(waitsFor string) {
	f.newestStatus.Store(&feedStatus{waitsFor: waitsFor, since: time.Now()})
}

func newFeed(kind objectapi.Kind, period time.Duration, name string, store Store, board *task.Mailbox[any],
	log *slog.Logger) (*feed, error) {
	ch, err := charts.Load("feed", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*feed]{
		Guards: map[string]func(*feed) bool{"knows_revision": func(f *feed) bool { return f.position.Revision > 0 }},
		Actions: map[string]func(*feed){
			"plan_await":   func(f *feed) { f.step = f.awaitAssignment },
			"plan_list":    func(f *feed) { f.step = f.readList },
			"plan_changes": func(f *feed) { f.step = f.readChanges },
			"plan_backoff": func(f *feed) { f.step = f.backOff },
		},
	})
	if err != nil {
		return nil, err
	}
	f := &feed{
		kind: kind, pace: paceOf(kind, period), name: name, store: store, board: board, log: log.With("kind", string(kind)),
		assignments: make(chan assignment, 1), interrupt: make(chan struct{}, 1), doubt: make(chan struct{}, 1),
		totalSuspension: suspension.Total,
	}
	f.setStatus("assignment")
	f.machine = bound.New(time.Now(), f)
	return f, nil
}

// run is the body of the task. The event of a step comes first, then an assignment that arrived meanwhile, then a suspicion, so
// that none of them replaces another.
func (f *feed) run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.fire(f.step(ctx))
		select {
		case a := <-f.assignments:
			f.fire(f.applyAssignment(a))
		default:
		}
		select {
		case <-f.doubt:
			f.fire("too_old")
		default:
		}
	}
	return nil
}

func (f *feed) fire(event string) {
	if err := f.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// setAssignment replaces the pending assignment. An order to read interrupts what the feed is doing: a call that began while
// the store was silent may have outlasted an order to stop, and the feed would read nothing until it times out. Only the
// board calls it.
func (f *feed) setAssignment(a assignment) {
	select {
	case <-f.assignments:
	default:
	}
	f.assignments <- a
	if a.active {
		f.interruptCall("assignment")
	}
}

// applyAssignment applies an assignment and returns the chart event for it.
func (f *feed) applyAssignment(a assignment) string {
	if !a.active {
		f.failures, f.unreadable, f.noWait = 0, 0, false // earlier failures do not matter when the feed reads again
		return "deactivate"
	}
	if f.position.Before(a.position) {
		f.position = a.position
	}
	return "activate"
}

// awaitAssignment waits for the next assignment.
func (f *feed) awaitAssignment(ctx context.Context) string {
	f.setStatus("assignment")
	select {
	case a := <-f.assignments:
		select {
		case <-f.interrupt: // there is nothing to interrupt
		default:
		}
		return f.applyAssignment(a)
	case <-ctx.Done():
		return "deactivate"
	}
}

// readList reads all objects of the kind.
func (f *feed) readList(ctx context.Context) string {
	f.setStatus("list")
	f.noWait = false // the list shows what the store holds now
	f.callStart, f.suspendedAtCall = time.Now(), f.totalSuspension()
	objects, position, err := f.store.List(ctx, f.kind)
	if err != nil {
		return f.handleFailure(ctx, err)
	}
	events := make([]objectapi.Event, len(objects))
	for i, o := range objects {
		events[i].Object = o
	}
	u := kindUpdate{kind: f.kind, complete: true, events: events, position: position, disproved: f.disproved,
		asOf: f.callStart, suspendedAtCall: f.suspendedAtCall}
	f.disproved = objectapi.Position{}
	return f.reportUpdate(ctx, u, "listed")
}

// readChanges reads the changes after the known revision.
func (f *feed) readChanges(ctx context.Context) string {
	if !task.Pause(ctx, time.Until(f.callStart.Add(f.pace.interval))) {
		return "failed"
	}
	wait := f.pace.wait
	if f.failures > 0 || f.noWait {
		wait = 0 // an answer at once shows what the store holds now
	}
	f.setStatus("changes")
	f.callStart, f.suspendedAtCall = time.Now(), f.totalSuspension()
	call, done := f.interruptible(ctx)
	events, position, err := f.store.Changes(call, f.kind, f.position, wait)
	f.noWait = err != nil && call.Err() != nil
	done()
	if f.noWait {
		return "changed" // the next call begins at once
	}
	if err != nil {
		return f.handleFailure(ctx, err)
	}
	position = position.In(f.position.Era)
	if position.Era != f.position.Era {
		return f.handleOtherEra(position)
	}
	if position.Before(f.position) {
		f.disproved = f.position
		f.unreadable++
		if f.unreadable == 1 {
			f.log.Warn("store has not reached the known revision; all objects are listed again", "revision", f.position.Revision,
				"reached", position.Revision)
		}
		return "unreadable"
	}
	u := kindUpdate{kind: f.kind, events: events, base: f.position, position: position,
		asOf: f.callStart, suspendedAtCall: f.suspendedAtCall}
	if f.unreadable > 0 {
		f.log.Info("answers of the store can be read again", "unreadable", f.unreadable, "revision", u.position.Revision)
		f.unreadable = 0
	}
	return f.reportUpdate(ctx, u, "changed")
}

// handleOtherEra handles changes that do not continue from the known position, and returns the chart event for them. Changes of
// an earlier era are those of a late answer.
func (f *feed) handleOtherEra(position objectapi.Position) string {
	f.log.Info("answer of the store is of another era and is dropped", "known_era", f.position.Era, "era", position.Era,
		"revision", position.Revision)
	if position.Era < f.position.Era {
		return "changed" // the call is repeated
	}
	return "too_old"
}

// interruptible returns a context that is cancelled when the feed is interrupted by interruptCall.
func (f *feed) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.interrupt:
			cancel()
		case <-call.Done():
		}
	}()
	return call, cancel
}

// interruptCall interrupts a call or a backoff. It never blocks. The cause is logged.
func (f *feed) interruptCall(cause string) {
	select {
	case f.interrupt <- struct{}{}:
		f.log.Debug("call or wait of a feed is interrupted", "cause", cause)
	default:
	}
}

// listAgain makes the feed list all objects, since changes may have been missed. It never blocks.
func (f *feed) listAgain(cause string) {
	select {
	case f.doubt <- struct{}{}:
		f.log.Info("changes may have been missed; all objects are listed again", "cause", cause)
	default:
	}
	f.interruptCall(cause)
}

// reportUpdate reports an update to the board and continues from the position that the board then knows.
func (f *feed) reportUpdate(ctx context.Context, u kindUpdate, event string) string {
	if f.failures > 0 {
		f.log.Info("store answers again", "failures", f.failures, "revision", u.position.Revision)
		_ = f.board.Send(ctx, storeReturnEvent{kind: f.kind}) // fails only when the context is done
	}
	f.failures = 0
	u.reader = f.name
	reply, err := task.Ask(ctx, f.board, func(reply chan<- updateReply) any {
		u.reply = reply
		return u
	})
	if err != nil {
		return "failed" // the instance is stopping
	}
	f.position = reply.known
	switch {
	case reply.mustList && event == "changed":
		return "too_old"
	case reply.mustList:
		return "unreadable" // the list was of an earlier era and is read again
	}
	return event
}

// handleFailure handles the error of a call and returns the chart event for it.
func (f *feed) handleFailure(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "failed"
	}
	if fault.Is(err, fault.TooOld) {
		f.log.Info("store no longer holds the changes since the last call; all objects are listed again", "revision", f.position.Revision)
		_ = f.board.Send(ctx, historyLostEvent{kind: f.kind}) // fails only when the context is done
		return "too_old"
	}
	if fault.Is(err, fault.Invalid) {
		f.unreadable++
		if f.unreadable == 1 {
			f.log.Warn("answer of the store cannot be read; the known objects stay in force and all objects are listed again",
				"error", err, "revision", f.position.Revision)
		}
		return "unreadable"
	}
	f.failures++
	if f.failures == 1 {
		f.log.Warn("store does not answer", "error", err, "revision", f.position.Revision)
		_ = f.board.Send(ctx, storeLostEvent{kind: f.kind}) // fails only when the context is done
	}
	return "failed"
}

// backOff waits with exponential backoff and jitter, so that instances do not retry at the same time. During an outage of
// the store, only the feed of backend servers retries often; the others wait until they are interrupted.
func (f *feed) backOff(ctx context.Context) string {
	base := min(minBackoff<<min(max(f.failures+f.unreadable-1, 0), 4), maxBackoff)
	wait := base/2 + rand.N(base)
	if f.kind != objectapi.Backends && f.failures > 1 {
		wait = outageBackoff/2 + rand.N(outageBackoff)
	}
	f.setStatus("backoff")
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.interrupt:
	case <-ctx.Done():
	}
	return "retry"
}
