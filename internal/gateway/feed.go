package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/suspension"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// firstPause and mostPause bound the pause after a failed call. The first is well above the store's 4 ms; the most
	// keeps the return of the store from going unnoticed for half of the time in which configurations must be in force.
	firstPause = 150 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	// otherPause is the pause of feeds that wait for the backend servers' feed to show that the store is back.
	otherPause = 5 * time.Second
)

// pace says how often the changes of a kind are read. Each call of the store is billed, one that waits too.
type pace struct {
	// wait is how long a call waits for a change; zero answers at once.
	wait time.Duration
	// gap is the least time between the starts of two calls.
	gap time.Duration
}

// followed are the kinds that an instance follows.
var followed = []objectapi.Kind{objectapi.Configuration, objectapi.Evacuations, objectapi.Backends, objectapi.Instances, objectapi.Strikes}

// rarePace is that of kinds that change rarely. Keep-alive probes and the feed of backend servers show a store that went
// silent while a call waits. Instances may be known late.
var (
	rarePace     = pace{wait: 8 * time.Second, gap: 100 * time.Millisecond}
	instancePace = pace{wait: 10 * time.Second, gap: 1500 * time.Millisecond}
)

// paceOf returns the pace of a kind. Backend servers are read at once and often: an answer that was waited for would be
// as old as the wait, and their news must not grow older than the period.
func paceOf(kind objectapi.Kind, period time.Duration) pace {
	if kind == objectapi.Backends {
		return pace{gap: period}
	}
	if kind == objectapi.Instances {
		return instancePace
	}
	return rarePace
}

// learned is news of one kind, from the store or from a peer.
type learned struct {
	kind objectapi.Kind
	// whole is true when events are all objects of the kind; else they are the changes after revision base.
	whole    bool
	events   []objectapi.Event
	base     uint64
	revision uint64
	// asOf is when the store was asked: its answer is at least as new.
	asOf time.Time
	// suspended is how long the machine had been suspended by then.
	suspended time.Duration
	// reader is the instance that asked the store.
	reader string
	// reply gets the revision that the board then knows; nil when nobody waits for it.
	reply chan<- uint64
}

// storeLost and storeRegained tell the board whether the store answers this instance.
type (
	storeLost     struct{ kind objectapi.Kind }
	storeRegained struct{ kind objectapi.Kind }
)

// assignment tells a feed whether to read the store and what is known already.
type assignment struct {
	active   bool
	revision uint64
}

// feed is the task that follows one kind of objects. It is the context of charts/feed.toml.
type feed struct {
	kind    objectapi.Kind
	pace    pace
	name    string
	store   Store
	board   *task.Mailbox[any]
	log     *slog.Logger
	machine *chart.Machine[*feed]
	// assigned holds the newest assignment, until the feed has taken it.
	assigned chan assignment
	// recheck tells that the store answers another feed again: a call that began before may never be answered.
	recheck chan struct{}

	// step is the next call or pause; it returns the event that it ended with.
	step     func(ctx context.Context) string
	revision uint64
	// called is when the last call began, calledSuspended how long the machine had been suspended until then.
	called          time.Time
	calledSuspended time.Duration
	suspended       func() time.Duration
	failures        int
	// interrupted is true when the last call was given up to ask again.
	interrupted bool
}

func newFeed(kind objectapi.Kind, period time.Duration, name string, store Store, board *task.Mailbox[any], log *slog.Logger) (*feed, error) {
	ch, err := charts.Load("feed", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*feed]{
		Guards: map[string]func(*feed) bool{"knows_revision": func(f *feed) bool { return f.revision > 0 }},
		Actions: map[string]func(*feed){
			"plan_rest":    func(f *feed) { f.step = f.rest },
			"plan_list":    func(f *feed) { f.step = f.list },
			"plan_changes": func(f *feed) { f.step = f.changes },
			"plan_pause":   func(f *feed) { f.step = f.pause },
		},
	})
	if err != nil {
		return nil, err
	}
	f := &feed{
		kind: kind, pace: paceOf(kind, period), name: name, store: store, board: board, log: log.With("kind", string(kind)),
		assigned: make(chan assignment, 1), recheck: make(chan struct{}, 1), suspended: suspension.Total,
	}
	f.machine = bound.New(time.Now(), f)
	return f, nil
}

// run is the body of the task.
func (f *feed) run(ctx context.Context) error {
	for ctx.Err() == nil {
		event := f.step(ctx)
		select {
		case a := <-f.assigned:
			f.fire(f.assign(a)) // what the step ended with was told to the board
		default:
			f.fire(event)
		}
	}
	return nil
}

func (f *feed) fire(event string) {
	if err := f.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// give replaces the assignment. Only the board calls it.
func (f *feed) give(a assignment) {
	select {
	case <-f.assigned:
	default:
	}
	f.assigned <- a
}

func (f *feed) assign(a assignment) string {
	if !a.active {
		f.failures, f.interrupted = 0, false // what failed then says nothing when the feed reads again
		return "deactivate"
	}
	f.revision = max(f.revision, a.revision)
	return "activate"
}

// rest waits until the feed is to read.
func (f *feed) rest(ctx context.Context) string {
	select {
	case a := <-f.assigned:
		return f.assign(a)
	case <-ctx.Done():
		return "deactivate"
	}
}

func (f *feed) list(ctx context.Context) string {
	f.called, f.calledSuspended = time.Now(), f.suspended()
	objects, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return f.failed(ctx, err)
	}
	events := make([]objectapi.Event, len(objects))
	for i, o := range objects {
		events[i].Object = o
	}
	return f.succeeded(ctx, learned{kind: f.kind, whole: true, events: events, revision: revision, asOf: f.called, suspended: f.calledSuspended}, "listed")
}

func (f *feed) changes(ctx context.Context) string {
	if !task.Pause(ctx, time.Until(f.called.Add(f.pace.gap))) {
		return "failed"
	}
	wait := f.pace.wait
	if f.failures > 0 || f.interrupted {
		wait = 0 // shows at once whether the store is back
	}
	f.called, f.calledSuspended = time.Now(), f.suspended()
	call, done := f.interruptible(ctx)
	events, revision, err := f.store.Changes(call, f.kind, f.revision, wait)
	f.interrupted = err != nil && call.Err() != nil
	done()
	if f.interrupted {
		return "changed" // the next call begins at once
	}
	if err != nil {
		return f.failed(ctx, err)
	}
	l := learned{kind: f.kind, events: events, base: f.revision, revision: max(revision, f.revision), asOf: f.called, suspended: f.calledSuspended}
	return f.succeeded(ctx, l, "changed")
}

// interruptible returns a context that ends when the feed is told to ask again.
func (f *feed) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.recheck:
			cancel()
		case <-call.Done():
		}
	}()
	return call, cancel
}

// askAgain interrupts a call or a pause. It never blocks.
func (f *feed) askAgain() {
	select {
	case f.recheck <- struct{}{}:
	default:
	}
}

// succeeded tells the board and goes on from the revision that the board knows.
func (f *feed) succeeded(ctx context.Context, l learned, event string) string {
	if f.failures > 0 {
		f.log.Info("store answers again", "failures", f.failures, "revision", l.revision)
		_ = f.board.Send(ctx, storeRegained{kind: f.kind}) // only the end of the context stops it
	}
	f.failures = 0
	l.reader = f.name
	known, err := task.Ask(ctx, f.board, func(reply chan<- uint64) any {
		l.reply = reply
		return l
	})
	if err != nil {
		return "failed" // the instance stops
	}
	f.revision = known
	return event
}

func (f *feed) failed(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "failed"
	}
	if fault.Is(err, fault.TooOld) {
		f.log.Info("store has forgotten the changes since the last call; listing again", "revision", f.revision)
		return "too_old"
	}
	f.failures++
	if f.failures == 1 {
		f.log.Warn("store does not answer", "error", err, "revision", f.revision)
		_ = f.board.Send(ctx, storeLost{kind: f.kind}) // only the end of the context stops it
	}
	return "failed"
}

// pause waits longer after each failure, with a spread that keeps instances from calling at the same moment. While
// the store is away, only the feed of backend servers tries; the others wait to be told.
func (f *feed) pause(ctx context.Context) string {
	base := min(firstPause<<min(f.failures-1, 4), mostPause)
	wait := base/2 + rand.N(base)
	if f.kind != objectapi.Backends && f.failures > 1 {
		wait = otherPause/2 + rand.N(otherPause)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.recheck:
	case <-ctx.Done():
	}
	return "retry"
}
