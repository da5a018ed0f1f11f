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
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// firstPause and mostPause bound the pause after a failed call. The first is well above the store's 4 ms; the most
	// keeps the return of the store from going unnoticed for half of the time in which configurations must be in force.
	firstPause = 150 * time.Millisecond
	mostPause  = 800 * time.Millisecond
)

// pace says how often the changes of a kind are read. Each call of the store is billed, one that waits too.
type pace struct {
	// wait is how long a call waits for a change.
	wait time.Duration
	// gap is the least time between the starts of two calls.
	gap time.Duration
}

// paces of the kinds that an instance follows. Backend servers change every second or so and must get no new request
// 2 s after they announced that they leave; the others change rarely.
var paces = map[objectapi.Kind]pace{
	objectapi.Configuration: {wait: 5 * time.Second, gap: 100 * time.Millisecond},
	objectapi.Evacuations:   {wait: 5 * time.Second, gap: 200 * time.Millisecond},
	objectapi.Backends:      {wait: 1200 * time.Millisecond, gap: 600 * time.Millisecond},
	objectapi.Instances:     {wait: 10 * time.Second, gap: time.Second},
}

// learned is what a feed tells the board.
type learned struct {
	kind objectapi.Kind
	// whole is true when events are all objects of the kind.
	whole    bool
	events   []objectapi.Event
	revision uint64
	// asOf is when the store was asked: its answer is at least as new.
	asOf time.Time
}

// storeLost and storeRegained tell the board whether the store answers for a kind.
type (
	storeLost     struct{ kind objectapi.Kind }
	storeRegained struct{ kind objectapi.Kind }
)

// feed is the task that follows one kind of objects. It is the context of charts/feed.toml.
type feed struct {
	kind    objectapi.Kind
	pace    pace
	store   Store
	board   *task.Mailbox[any]
	log     *slog.Logger
	machine *chart.Machine[*feed]
	// recheck tells that the store answers another feed again: a call that began before may never be answered.
	recheck chan struct{}

	// step is the next call or pause; it returns the event that it ended with.
	step     func(ctx context.Context) string
	revision uint64
	called   time.Time
	failures int
}

func newFeed(kind objectapi.Kind, store Store, board *task.Mailbox[any], log *slog.Logger) (*feed, error) {
	ch, err := charts.Load("feed", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*feed]{Actions: map[string]func(*feed){
		"plan_list":    func(f *feed) { f.step = f.list },
		"plan_changes": func(f *feed) { f.step = f.changes },
		"plan_pause":   func(f *feed) { f.step = f.pause },
	}})
	if err != nil {
		return nil, err
	}
	f := &feed{kind: kind, pace: paces[kind], store: store, board: board, log: log.With("kind", string(kind)), recheck: make(chan struct{}, 1)}
	f.machine = bound.New(time.Now(), f)
	return f, nil
}

// run is the body of the task.
func (f *feed) run(ctx context.Context) error {
	event := "start"
	for ctx.Err() == nil {
		if err := f.machine.Fire(time.Now(), event); err != nil {
			return err
		}
		event = f.step(ctx)
	}
	return nil
}

func (f *feed) list(ctx context.Context) string {
	f.called = time.Now()
	objects, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return f.failed(ctx, err)
	}
	events := make([]objectapi.Event, len(objects))
	for i, o := range objects {
		events[i].Object = o
	}
	return f.succeeded(ctx, learned{kind: f.kind, whole: true, events: events, revision: revision, asOf: f.called}, "listed")
}

func (f *feed) changes(ctx context.Context) string {
	if !task.Pause(ctx, time.Until(f.called.Add(f.pace.gap))) {
		return "failed"
	}
	wait := f.pace.wait
	if f.failures > 0 {
		wait = 0 // shows at once whether the store is back
	}
	f.called = time.Now()
	call, done := f.interruptible(ctx)
	events, revision, err := f.store.Changes(call, f.kind, f.revision, wait)
	interrupted := call.Err() != nil
	done()
	if interrupted && err != nil {
		return "changed" // the next call begins at once
	}
	if err != nil {
		return f.failed(ctx, err)
	}
	return f.succeeded(ctx, learned{kind: f.kind, events: events, revision: max(revision, f.revision), asOf: f.called}, "changed")
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

// askAgain interrupts a call that waits. It never blocks.
func (f *feed) askAgain() {
	select {
	case f.recheck <- struct{}{}:
	default:
	}
}

func (f *feed) succeeded(ctx context.Context, l learned, event string) string {
	if f.failures > 0 {
		f.log.Info("store answers again", "failures", f.failures, "revision", l.revision)
		_ = f.board.Send(ctx, storeRegained{kind: f.kind}) // only the end of the context stops it
	}
	f.failures = 0
	f.revision = l.revision
	_ = f.board.Send(ctx, l) // only the end of the context stops it
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

// pause waits longer after each failure, with a spread that keeps instances from calling at the same moment.
func (f *feed) pause(ctx context.Context) string {
	base := min(firstPause<<min(f.failures-1, 4), mostPause)
	task.Pause(ctx, base/2+rand.N(base))
	return "retry"
}
