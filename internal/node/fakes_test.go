package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// memoryAPI is an object API in memory with injected faults.
type memoryAPI struct {
	objectapi.API // calls that claims do not use
	latency       time.Duration

	mu         sync.Mutex
	objects    map[string]objectapi.Object
	version    uint64
	writes     int
	bytes      int
	down       bool
	loseAnswer func() bool // whether the answer of a write that took effect is lost
	delayWrite func() bool // whether a write takes effect only after its caller got an ambiguous error
}

func newMemoryAPI() *memoryAPI {
	never := func() bool { return false }
	return &memoryAPI{objects: map[string]objectapi.Object{}, loseAnswer: never, delayWrite: never, latency: 2 * time.Millisecond}
}

func (m *memoryAPI) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryAPI) Get(_ context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	time.Sleep(m.latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return objectapi.Object{}, fault.New(fault.StoreUnavailable, "", "down")
	}
	o, ok := m.objects[string(kind)+"/"+name]
	if !ok {
		return o, fault.New(fault.NotFound, "", "%s does not exist", name)
	}
	return o, nil
}

func (m *memoryAPI) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	if !objecthttp.ValidName(name) {
		return objectapi.Object{}, fault.New(fault.Invalid, "use lower-case letters, digits, dots and dashes", "object name %q is not valid", name)
	}
	return m.write(kind, name, 0, value)
}

func (m *memoryAPI) Update(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	return m.write(kind, name, version, value)
}

func (m *memoryAPI) write(kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	time.Sleep(m.latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	ambiguous := fault.New(fault.AmbiguousWrite, "", "answer was lost")
	switch {
	case m.down:
		return objectapi.Object{}, fault.New(fault.StoreUnavailable, "", "down")
	case m.delayWrite():
		go func() {
			time.Sleep(500 * time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = m.apply(kind, name, version, value)
		}()
		return objectapi.Object{}, ambiguous
	}
	o, err := m.apply(kind, name, version, value)
	if m.loseAnswer() {
		return objectapi.Object{}, ambiguous
	}
	return o, err
}

func (m *memoryAPI) apply(kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	key := string(kind) + "/" + name
	if m.objects[key].Version != version {
		return objectapi.Object{}, fault.New(fault.Conflict, "", "version %d is not current", version)
	}
	m.version++
	m.writes++
	m.bytes += len(value)
	o := objectapi.Object{Kind: kind, Name: name, Version: m.version, Value: value}
	m.objects[key] = o
	return o, nil
}

func (m *memoryAPI) Delete(_ context.Context, kind objectapi.Kind, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, string(kind)+"/"+name)
	return nil
}

// gate carries all traffic of an instance. A closed gate delays everything, like a paused process; a dead gate refuses
// everything.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closing this channel opens the gate
	dead bool
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) pause() (resume func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := make(chan struct{})
	g.open = open
	return func() { close(open) }
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

// wait blocks until the gate is open. It returns an error if the gate is dead.
func (g *gate) wait() error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return fault.New(fault.PeerUnavailable, "", "instance is dead")
	}
	return nil
}

// gatedAPI is the object API as one instance reaches it through its gate.
type gatedAPI struct {
	*memoryAPI
	gate *gate
}

func (a gatedAPI) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if err := a.gate.wait(); err != nil {
		return objectapi.Object{}, err
	}
	return a.memoryAPI.Get(ctx, kind, name)
}

func (a gatedAPI) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return a.Update(ctx, kind, name, 0, value)
}

func (a gatedAPI) Update(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	if err := a.gate.wait(); err != nil {
		return objectapi.Object{}, err
	}
	return a.memoryAPI.Update(ctx, kind, name, version, value)
}

// network carries messages between instances by name.
type network struct {
	// deliveries are the messages in flight. A test must wait for them, because a synctest bubble must not end before its
	// goroutines.
	deliveries sync.WaitGroup
	mu         sync.Mutex
	handlers   map[string]peer.Handlers
	gates      map[string]*gate
	lose       func() bool // whether a message or a reply is lost
}

func (n *network) join(name string, g *gate, h peer.Handlers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[name], n.gates[name] = h, g
}

// link is the network as one instance reaches it through its gate.
type link struct {
	peer.Caller // calls that are not used
	net         *network
	gate        *gate
}

// deliver delivers one message and its reply, unless one of them is lost or a gate refuses it.
func deliver[In, Out any](ctx context.Context, l link, to string, in In, pick func(peer.Handlers) func(context.Context, In) (Out, error)) (Out, error) {
	var none Out
	type reply struct {
		out Out
		err error
	}
	done := make(chan reply, 1)
	l.net.deliveries.Go(func() {
		err := l.gate.wait()
		l.net.mu.Lock()
		h, g := l.net.handlers[to], l.net.gates[to]
		loseMessage, loseReply := l.net.lose(), l.net.lose()
		l.net.mu.Unlock()
		time.Sleep(time.Millisecond)
		if err != nil || g == nil || g.wait() != nil || loseMessage {
			return
		}
		// The handler goes on after the caller's context has ended, as over a network.
		out, err := pick(h)(context.WithoutCancel(ctx), in)
		time.Sleep(time.Millisecond)
		if g.wait() == nil && !loseReply {
			done <- reply{out, err}
		}
	})
	select {
	case r := <-done:
		return r.out, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (l link) Claim(ctx context.Context, to string, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return deliver(ctx, l, to, in, func(h peer.Handlers) func(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
		return h.Claim
	})
}

func (l link) Settle(ctx context.Context, to string, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return deliver(ctx, l, to, in, func(h peer.Handlers) func(context.Context, *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
		return h.Settle
	})
}

func (l link) Strike(ctx context.Context, to string, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return deliver(ctx, l, to, in, func(h peer.Handlers) func(context.Context, *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
		return h.Strike
	})
}

// fakeServers are backend servers in memory. Serve returns how a request ends: with an answer, a crash of the server, or a
// broken connection.
type fakeServers struct {
	mu           sync.Mutex
	incarnations map[string]int
	down         map[string]bool
	sockets      map[string][]net.Conn
	serve        func(server string, r *http.Request, body string) serverResponse
	// repeatRefusals makes the servers write each refusal once more when the next request arrives on its connection.
	repeatRefusals bool
}

// serverResponse is how a request ends at a backend server.
type serverResponse struct {
	status          int
	body            string
	notRun          bool
	breakConnection bool
	// crashFor stops the server for this long.
	crashFor time.Duration
}

func newFakeServers(serve func(string, *http.Request, string) serverResponse) *fakeServers {
	return &fakeServers{incarnations: map[string]int{}, down: map[string]bool{}, sockets: map[string][]net.Conn{}, serve: serve}
}

// dialer returns a dialer that connects through the gate of one instance.
func (f *fakeServers) dialer(g *gate) backend.Dialer {
	return func(_ context.Context, address string) (net.Conn, error) {
		if err := g.wait(); err != nil {
			return nil, err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.down[address] {
			return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
		}
		near, far := net.Pipe()
		f.sockets[address] = append(f.sockets[address], far)
		go f.serveConn(address, far)
		return gatedConn{Conn: near, gate: g}, nil
	}
}

// gatedConn delays writes while the instance is paused, and refuses them once it is dead.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Write(p []byte) (int, error) {
	if err := c.gate.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (f *fakeServers) serveConn(address string, socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	var refusal *serverResponse
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		response := f.serve(address, r, string(body))
		if refusal != nil && !f.answer(address, socket, *refusal) {
			return
		}
		refusal = nil
		if f.repeatRefusals && response.notRun {
			refusal = &response
		}
		if response.crashFor > 0 {
			f.crash(address, response.crashFor)
		}
		if response.breakConnection || response.crashFor > 0 {
			return
		}
		if !f.answer(address, socket, response) {
			return
		}
	}
}

func (f *fakeServers) answer(address string, socket net.Conn, response serverResponse) bool {
	f.mu.Lock()
	incarnation := fmt.Sprint(f.incarnations[address])
	f.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n%s: %s\r\n", response.status, len(response.body), backend.HeaderIncarnation, incarnation)
	if response.notRun {
		head += backend.HeaderNotRun + ": true\r\n"
	}
	_, err := io.Copy(socket, strings.NewReader(head+"\r\n"+response.body))
	return err == nil
}

// crash breaks all connections of a server and refuses new ones for a time.
func (f *fakeServers) crash(address string, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] {
		return
	}
	f.down[address] = true
	f.incarnations[address]++
	for _, s := range f.sockets[address] {
		_ = s.Close()
	}
	f.sockets[address] = nil
	time.AfterFunc(length, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.down[address] = false
	})
}

// chance returns a function that returns true with probability p, using its own source of random numbers.
func chance(rnd *rand.Rand, p float64) func() bool {
	var mu sync.Mutex
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rnd.Float64() < p
	}
}
