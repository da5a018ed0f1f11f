package objectapi

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// watchCapacity is the number of changes that a watch buffers: a complete history and some more. A watch whose reader
// falls further behind is ended.
const watchCapacity = historyLength + 256

// watch is an open watch. The store's task sends on its channels and closes events; the reader receives.
type watch struct {
	store   *Store
	kind    objectapi.Kind
	events  chan objectapi.Event
	failure chan error
	err     error
}

func newWatch(store *Store, kind objectapi.Kind) *watch {
	return &watch{store: store, kind: kind, events: make(chan objectapi.Event, watchCapacity), failure: make(chan error, 1)}
}

// offer adds a change without blocking. It returns false when the buffer is full.
func (w *watch) offer(e objectapi.Event) bool {
	select {
	case w.events <- e:
		return true
	default:
		return false
	}
}

// Next blocks until the next change or the end of the watch, for which it returns an error.
func (w *watch) Next(ctx context.Context) (objectapi.Event, error) {
	select {
	case e, ok := <-w.events:
		if ok {
			return e, nil
		}
	case <-ctx.Done():
		return objectapi.Event{}, ctx.Err()
	}
	if w.err == nil {
		w.err = downError()
		select {
		case w.err = <-w.failure:
		default:
		}
	}
	return objectapi.Event{}, w.err
}

// Close ends the watch.
func (w *watch) Close() error {
	w.store.inbox.SendUntil(w.store.ended, closeWatchRequest{watch: w})
	return nil
}
