package node_test

import (
	"context"
	"math"
	"slices"
	"sync"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// store is a fake object API in memory: a log of all changes, whose length is the revision.
type store struct {
	mu        sync.Mutex
	log       []objectapi.Event
	compacted uint64
	// wake is closed and replaced at each change, to wake the watches.
	wake chan struct{}
}

func newStore() *store { return &store{wake: make(chan struct{})} }

func (s *store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.wake)
	s.wake = make(chan struct{})
}

// objectsAt returns the objects at a revision.
func (s *store) objectsAt(revision uint64) map[string]objectapi.Object {
	objects := map[string]objectapi.Object{}
	for _, e := range s.log {
		key := string(e.Object.Kind) + "/" + e.Object.Name
		if e.Object.Version > revision {
			break
		}
		objects[key] = e.Object
		if e.Deleted {
			delete(objects, key)
		}
	}
	return objects
}

func (s *store) revision() uint64 { return uint64(len(s.log)) }

// write appends a change if the object has the expected version. Zero means that the object must not exist.
func (s *store) write(kind objectapi.Kind, name string, expected uint64, value []byte, deleted bool) (o objectapi.Object, err error) {
	s.update(func() {
		current := s.objectsAt(s.revision())[string(kind)+"/"+name]
		if current.Version != expected {
			err = fault.New(fault.Conflict, "get, redo, apply", "version is %d", current.Version)
			return
		}
		o = objectapi.Object{Kind: kind, Name: name, Version: s.revision() + 1, Value: value}
		s.log = append(s.log, objectapi.Event{Object: o, Deleted: deleted})
	})
	return o, err
}

// compact makes watches that start or resume below the current revision too old.
func (s *store) compact() { s.update(func() { s.compacted = s.revision() }) }

// compactEverything makes every watch too old.
func (s *store) compactEverything() { s.update(func() { s.compacted = math.MaxUint64 }) }

// client is the store as one instance sees it, with injected faults.
type client struct {
	*store
	down bool
	// lag is the number of the latest changes that the replica does not have yet.
	lag uint64
	// generation is incremented to cut the open watches.
	generation int
	// lists counts the list calls, including failed ones.
	lists int
}

// fail sets the faults of a client, and cuts its open watches if cut is true.
func (c *client) fail(down bool, lag uint64, cut bool) {
	c.update(func() {
		c.down, c.lag = down, lag
		if cut {
			c.generation++
		}
	})
}

func (c *client) visibleRevision() uint64 { return max(c.revision(), c.lag) - c.lag }

func unavailable() error {
	return fault.New(fault.StoreUnavailable, "wait", "the object API does not answer")
}

func (c *client) Get(_ context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return objectapi.Object{}, unavailable()
	}
	o, ok := c.objectsAt(c.visibleRevision())[string(kind)+"/"+name]
	if !ok {
		return o, fault.New(fault.NotFound, "create it", "object does not exist")
	}
	return o, nil
}

func (c *client) List(_ context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	if c.down {
		return nil, 0, unavailable()
	}
	var list []objectapi.Object
	for _, o := range c.objectsAt(c.visibleRevision()) {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	return list, c.visibleRevision(), nil
}

func (c *client) Create(_ context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return c.Update(context.Background(), kind, name, 0, value)
}

func (c *client) Update(_ context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	if c.isDown() {
		return objectapi.Object{}, unavailable()
	}
	return c.write(kind, name, version, value, false)
}

func (c *client) Delete(_ context.Context, kind objectapi.Kind, name string, version uint64) error {
	if c.isDown() {
		return unavailable()
	}
	_, err := c.write(kind, name, version, nil, true)
	return err
}

func (c *client) listCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists
}

func (c *client) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

func (c *client) Watch(_ context.Context, kind objectapi.Kind, after uint64) (objectapi.Watch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.down:
		return nil, unavailable()
	case after < c.compacted:
		return nil, fault.New(fault.TooOld, "list again", "version %d is no longer kept", after)
	}
	return &watch{client: c, kind: kind, after: after, generation: c.generation}, nil
}

type watch struct {
	client     *client
	kind       objectapi.Kind
	after      uint64
	generation int
}

func (w *watch) Next(ctx context.Context) (objectapi.Event, error) {
	for {
		e, ok, wake, err := w.poll()
		if ok || err != nil {
			return e, err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

func (w *watch) poll() (e objectapi.Event, ok bool, wake <-chan struct{}, err error) {
	c := w.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down || c.generation != w.generation {
		return e, false, nil, unavailable()
	}
	i := slices.IndexFunc(c.log, func(e objectapi.Event) bool {
		return e.Object.Kind == w.kind && e.Object.Version > w.after && e.Object.Version <= c.visibleRevision()
	})
	if i < 0 {
		return e, false, c.wake, nil
	}
	w.after = c.log[i].Object.Version
	return c.log[i], true, nil, nil
}

func (w *watch) Close() error { return nil }
