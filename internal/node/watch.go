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
	// watchRetryFirst and watchRetryLimit bound the waits between tries. With the limit, 15 instances with four kinds
	// make at most 30 calls a second while the object API is down, of the 2,000 that it serves.
	watchRetryFirst = 100 * time.Millisecond
	watchRetryLimit = 4 * time.Second
	// listTimeout bounds one list: 190 documents of up to 1 MiB at the platform's usual speed.
	listTimeout = 10 * time.Second
	// watchTimeout renews a watch that reported nothing, so that a connection that broke without notice is found.
	watchTimeout = time.Minute
)

// Messages from a watcher to the task that owns the documents of a kind.
type (
	listed struct {
		kind    objectapi.Kind
		objects []objectapi.Object
		version uint64
	}
	changed struct {
		kind  objectapi.Kind
		event objectapi.Event
	}
	// readable says that the object API answers again, and that a watch is open.
	readable struct{ kind objectapi.Kind }
	// unreadable says that the object API does not answer.
	unreadable struct {
		kind objectapi.Kind
		err  error
	}
)

// errQuiet ends a watch that reported nothing for watchTimeout.
var errQuiet = errors.New("watch reported nothing")

// watcher is the task that follows the objects of one kind: it lists them, watches from there on, resumes a broken
// watch and lists again when the object API no longer has the version.
type watcher struct {
	api   objectapi.API
	kind  objectapi.Kind
	inbox *task.Mailbox[any]
	log   *slog.Logger

	after uint64
	// resume is true once a list was read, and false again when the object API no longer has its version.
	resume bool
	retry  backoff
}

func newWatcher(api objectapi.API, kind objectapi.Kind, inbox *task.Mailbox[any], log *slog.Logger) *watcher {
	return &watcher{api: api, kind: kind, inbox: inbox, log: log, retry: backoff{first: watchRetryFirst, limit: watchRetryLimit}}
}

// run is the body of the watcher's task. It ends with the context. Only a watch that brought news or stayed open for
// watchTimeout ends the backoff: a list may succeed while every watch of its version is too old.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.failed(ctx, err)
		default:
			w.retry.reset()
		}
	}
}

// failed decides how to go on after an error and waits.
func (w *watcher) failed(ctx context.Context, err error) {
	if fault.Is(err, fault.TooOld) {
		w.resume = false
	}
	w.log.Warn("object API does not answer", "kind", string(w.kind), "error", err)
	w.tell(ctx, unreadable{kind: w.kind, err: err})
	task.Pause(ctx, w.retry.next())
}

// follow lists if needed, and then watches until an error. A watch without news ends without an error.
func (w *watcher) follow(ctx context.Context) error {
	if !w.resume {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	watch, err := w.api.Watch(ctx, w.kind, w.after)
	if err != nil {
		return err
	}
	defer func() { _ = watch.Close() }() // the watch is given up
	w.tell(ctx, readable{kind: w.kind})
	for {
		event, err := w.next(ctx, watch)
		if errors.Is(err, errQuiet) {
			return nil
		}
		if err != nil {
			return err
		}
		w.retry.reset()
		w.after = max(w.after, event.Object.Version)
		w.tell(ctx, changed{kind: w.kind, event: event})
	}
}

func (w *watcher) next(ctx context.Context, watch objectapi.Watch) (objectapi.Event, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, watchTimeout, errQuiet)
	defer cancel()
	event, err := watch.Next(ctx)
	if err != nil && context.Cause(ctx) == errQuiet {
		return event, errQuiet
	}
	return event, err
}

func (w *watcher) list(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, version, err := w.api.List(limited, w.kind)
	if err != nil {
		return err
	}
	w.after, w.resume = version, true
	w.tell(ctx, listed{kind: w.kind, objects: objects, version: version})
	return nil
}

// tell blocks while the owner's mailbox is full: losing a change would leave an old version in force.
func (w *watcher) tell(ctx context.Context, m any) {
	_ = w.inbox.Send(ctx, m) // fails only when the watcher ends
}
