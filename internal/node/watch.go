package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// watchRetryFirst and watchRetryLimit bound the backoff between attempts. At the limit, 15 instances with four kinds
	// make at most 30 calls per second while the object API is down; it serves 2,000.
	watchRetryFirst = 100 * time.Millisecond
	watchRetryLimit = 4 * time.Second
	// listTimeout bounds one list call.
	listTimeout = 3 * time.Second
	// watchTimeout is the time without events after which a watch is reopened, since one that has broken silently reports no
	// change. With the calls that follow it stays below configBound.
	watchTimeout = 5 * time.Second
)

// Messages from a watcher to its owner, the task that uses the objects of its kind.
type (
	listResult struct {
		kind    objectapi.Kind
		objects []objectapi.Object
		version uint64
	}
	changeEvent struct {
		kind  objectapi.Kind
		event objectapi.Event
	}
	// readableEvent reports that a watch is open: the object API is available, and the objects known at asOf were current.
	readableEvent struct {
		kind objectapi.Kind
		asOf time.Time
	}
	// unreadableEvent reports that the object API is not available.
	unreadableEvent struct {
		kind objectapi.Kind
		err  error
	}
)

// errNoEvent ends a watch that received no event for watchTimeout, errDoubtful one that may have missed a change.
var (
	errNoEvent  = errors.New("watch received no event")
	errDoubtful = errors.New("watch may have missed a change")
)

// watcher is the task that follows the objects of one kind: it lists them, watches the changes after the list, resumes a
// broken watch, and lists again if the object API no longer keeps the version at which to resume or an answer cannot be
// read.
type watcher struct {
	api   objectapi.API
	kind  objectapi.Kind
	inbox *task.Mailbox[any]
	log   *slog.Logger

	// afterVersion is the version after which the watch starts or resumes.
	afterVersion uint64
	// canResume is true if the watch can start after that version without a list.
	canResume bool
	retry     backoff
	// doubt signals that the watch may have missed a change.
	doubt chan struct{}
}

func newWatcher(api objectapi.API, kind objectapi.Kind, inbox *task.Mailbox[any], log *slog.Logger) *watcher {
	return &watcher{api: api, kind: kind, inbox: inbox, log: log, retry: backoff{first: watchRetryFirst, limit: watchRetryLimit},
		doubt: make(chan struct{}, 1)}
}

// listAgain makes the watcher list the objects, since the watch may have missed a change. It never blocks.
func (w *watcher) listAgain() {
	select {
	case w.doubt <- struct{}{}:
	default:
	}
}

// run is the body of the watcher task. It ends with the context. Only a watch that received an event or stayed open for
// watchTimeout resets the backoff: a list may succeed although its version is already too old for a watch.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.handleError(ctx, err)
		default:
			w.retry.reset()
		}
	}
}

// handleError reports an error to the owner and waits for the backoff.
func (w *watcher) handleError(ctx context.Context, err error) {
	problem := "object API does not answer"
	switch {
	case fault.Is(err, fault.TooOld):
		w.canResume = false
	case fault.Is(err, fault.Invalid):
		w.canResume = false // a list passes the change that cannot be read
		problem = "answer of the object API cannot be read"
	}
	w.log.Warn(problem, "kind", string(w.kind), "error", err)
	w.notify(ctx, unreadableEvent{kind: w.kind, err: err})
	task.Pause(ctx, w.retry.next())
}

// follow lists the objects if needed, and then watches them until an error. It returns nil after watchTimeout without an
// event.
func (w *watcher) follow(ctx context.Context) error {
	if !w.canResume {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	opened := time.Now()
	watch, err := w.api.Watch(ctx, w.kind, w.afterVersion)
	if err != nil {
		return err
	}
	defer func() { _ = watch.Close() }() // the watch is no longer used
	w.notify(ctx, readableEvent{kind: w.kind, asOf: opened})
	for {
		event, err := w.nextEvent(ctx, watch)
		if errors.Is(err, errNoEvent) {
			return nil
		}
		if errors.Is(err, errDoubtful) {
			w.canResume = false
			return nil
		}
		if err != nil {
			return err
		}
		w.retry.reset()
		w.afterVersion = max(w.afterVersion, event.Object.Version)
		w.notify(ctx, changeEvent{kind: w.kind, event: event})
	}
}

// nextEvent returns the next event, errNoEvent after watchTimeout, or errDoubtful when the watch may have missed a change.
func (w *watcher) nextEvent(ctx context.Context, watch objectapi.Watch) (objectapi.Event, error) {
	ctx, stop := context.WithTimeoutCause(ctx, watchTimeout, errNoEvent)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	doubtful := make(chan bool, 1)
	go func() {
		select {
		case <-w.doubt:
			cancel(errDoubtful)
			doubtful <- true
		case <-ctx.Done():
			doubtful <- false
		}
	}()
	event, err := watch.Next(ctx)
	expired := context.Cause(ctx) == errNoEvent
	cancel(nil)
	switch {
	case <-doubtful && err == nil:
		w.listAgain() // after this event
	case err != nil && context.Cause(ctx) == errDoubtful:
		return event, errDoubtful
	case err != nil && expired:
		return event, errNoEvent
	}
	return event, err
}

func (w *watcher) list(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, version, err := w.api.List(listCtx, w.kind)
	if err != nil {
		return err
	}
	w.afterVersion, w.canResume = version, true
	w.notify(ctx, listResult{kind: w.kind, objects: objects, version: version})
	return nil
}

// notify sends a message to the owner. It blocks while the mailbox is full, since losing a change would leave an old version
// in force.
func (w *watcher) notify(ctx context.Context, m any) {
	_ = w.inbox.Send(ctx, m) // fails only when the watcher ends
}
