package node_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// memoryStore is an in-memory object API.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	objects map[objectapi.Kind]map[string]objectapi.Object
	// changed is closed and replaced at each write.
	changed chan struct{}
	// down refuses calls, lossy drops replies to writes, and late delays the effect of such a write by seconds.
	down, lossy, late bool
}

func (m *memoryStore) fail(down, lossy, late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.lossy, m.late = down, lossy, late
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[objectapi.Kind]map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// write stores an object; version 0 creates it.
func (m *memoryStore) write(kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[kind] == nil {
		m.objects[kind] = map[string]objectapi.Object{}
	}
	if m.objects[kind][name].Version != version {
		return objectapi.Object{}, fault.New(fault.Conflict, "read again", "%s has another version", name)
	}
	m.version++
	o := objectapi.Object{Kind: kind, Name: name, Version: m.version, Value: value}
	m.objects[kind][name] = o
	close(m.changed)
	m.changed = make(chan struct{})
	return o, nil
}

// after returns the objects of a kind that changed after a version, the current version, and a channel that is closed
// at the next change.
func (m *memoryStore) after(kind objectapi.Kind, version uint64) ([]objectapi.Object, uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []objectapi.Object
	for _, o := range m.objects[kind] {
		if o.Version > version {
			list = append(list, o)
		}
	}
	return list, m.version, m.changed
}

// storeClient is the connection of one instance to the store. The store's mutex guards it.
type storeClient struct {
	store *memoryStore
	rnd   *rand.Rand
	// cut counts the active faults that disconnect only this instance from the store.
	cut int
}

func (c *storeClient) fail(faults int) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.cut += faults
}

// delayCall delays a call and decides whether its reply is lost and by how much its effect is delayed.
func (c *storeClient) delayCall(ctx context.Context) (lost bool, late time.Duration, err error) {
	c.store.mu.Lock()
	down := c.store.down || c.cut > 0
	lost = c.store.lossy && c.rnd.IntN(2) == 0
	if lost && c.store.late {
		late = time.Duration(c.rnd.IntN(8000)) * time.Millisecond
	}
	delay := time.Duration(1+c.rnd.IntN(20)) * time.Millisecond
	c.store.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return false, 0, ctx.Err()
	}
	if down {
		return false, 0, fault.New(fault.StoreUnavailable, "wait", "the object API is down")
	}
	return lost, late, nil
}

func (c *storeClient) write(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	lost, late, err := c.delayCall(ctx)
	if err != nil {
		return objectapi.Object{}, err
	}
	if late > 0 {
		time.AfterFunc(late, func() { _, _ = c.store.write(kind, name, version, value) })
	}
	if !lost {
		return c.store.write(kind, name, version, value)
	}
	if late == 0 {
		_, _ = c.store.write(kind, name, version, value)
	}
	return objectapi.Object{}, fault.New(fault.AmbiguousWrite, "read back", "the answer was lost")
}

func (c *storeClient) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return c.write(ctx, kind, name, 0, value)
}

func (c *storeClient) Update(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	return c.write(ctx, kind, name, version, value)
}

func (c *storeClient) Delete(context.Context, objectapi.Kind, string, uint64) error { return nil }

func (c *storeClient) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if _, _, err := c.delayCall(ctx); err != nil {
		return objectapi.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	o, ok := c.store.objects[kind][name]
	if !ok {
		return o, fault.New(fault.NotFound, "create it", "%s does not exist", name)
	}
	return o, nil
}

func (c *storeClient) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error) {
	if _, _, err := c.delayCall(ctx); err != nil {
		return nil, 0, err
	}
	list, version, _ := c.store.after(kind, 0)
	return list, version, nil
}

func (c *storeClient) Watch(_ context.Context, kind objectapi.Kind, after uint64) (objectapi.Watch, error) {
	return &storeWatch{client: c, kind: kind, after: after}, nil
}

type storeWatch struct {
	client *storeClient
	kind   objectapi.Kind
	after  uint64
	ready  []objectapi.Object
}

func (w *storeWatch) Next(ctx context.Context) (objectapi.Event, error) {
	for {
		if _, _, err := w.client.delayCall(ctx); err != nil {
			return objectapi.Event{}, err
		}
		if len(w.ready) > 0 {
			o := w.ready[0]
			w.ready = w.ready[1:]
			return objectapi.Event{Object: o}, nil
		}
		list, version, changed := w.client.store.after(w.kind, w.after)
		if w.ready, w.after = list, version; len(list) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objectapi.Event{}, ctx.Err()
		}
	}
}

func (w *storeWatch) Close() error { return nil }

// memoryNet carries messages between instances. cut counts the active faults of each directed link; a link with
// faults loses every message.
type memoryNet struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	handlers map[string]peer.Handlers
	cut      map[[2]string]int
}

// deliver delivers a message after a delay. A cut link loses the message or its reply.
func deliver[In, Out any](ctx context.Context, n *memoryNet, from, to string, in In, pick func(peer.Handlers) func(context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	if err := n.hop(ctx, from, to); err != nil {
		return zero, err
	}
	n.mu.Lock()
	handle := pick(n.handlers[to])
	n.mu.Unlock()
	if handle == nil {
		return zero, fault.New(fault.PeerUnavailable, "ask another", "%s is not there", to)
	}
	out, err := handle(context.WithoutCancel(ctx), in)
	if lost := n.hop(ctx, to, from); lost != nil {
		return zero, lost
	}
	return out, err
}

func (n *memoryNet) hop(ctx context.Context, from, to string) error {
	n.mu.Lock()
	lost := n.cut[[2]string{from, to}] > 0 || n.rnd.IntN(50) == 0
	delay := time.Duration(1+n.rnd.IntN(10)) * time.Millisecond
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	return ctx.Err()
}

// netClient is the peer client of one instance.
type netClient struct {
	peer.Caller
	net  *memoryNet
	self string
}

func (c netClient) Lease(ctx context.Context, to string, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	return deliver(ctx, c.net, c.self, to, in, func(h peer.Handlers) func(context.Context, *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
		return h.Lease
	})
}

func (c netClient) Witness(ctx context.Context, to string, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	return deliver(ctx, c.net, c.self, to, in, func(h peer.Handlers) func(context.Context, *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
		return h.Witness
	})
}
