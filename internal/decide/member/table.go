package member

import (
	"cmp"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

const (
	// leftGossipTime is how long the announcement of a stop is gossiped: a dozen rounds.
	leftGossipTime = 6 * time.Second
	// addressGossipTime is how long entries of a new incarnation include region, zone and address without a request.
	addressGossipTime = 10 * time.Second
	// maxMembers bounds the entries in memory. Once it is reached, entries of unknown instances are ignored.
	maxMembers = 4096
)

// Table is one instance's knowledge of the fleet. It is owned by one task.
type Table struct {
	self      Instance
	heartbeat uint64
	state     State
	config    ConfigVersion

	bound  *chart.Bound[*peer]
	peers  map[string]*peer
	listed map[string]bool
	seeds  []string

	notices        noticeStore
	noticeSequence uint64
	round          uint64
	// requestFull is true after an entry of an unknown incarnation has arrived without an address.
	requestFull bool
	view        *View
}

// New returns a table that knows only its own instance. Seeds are addresses of instances to contact first; they may be
// empty when the platform's list has instances.
func New(ch *chart.Chart, self Instance, seeds []string) (*Table, error) {
	bound, err := bindPeer(ch)
	if err != nil {
		return nil, err
	}
	return &Table{
		self: self, state: Starting, bound: bound, peers: map[string]*peer{}, seeds: seeds,
		notices: noticeStore{notices: map[noticeKey]*storedNotice{}}, noticeSequence: self.Incarnation,
	}, nil
}

// Self returns this instance. Its incarnation increases when the fleet knows a later one under the same name.
func (t *Table) Self() Instance { return t.self }

// SetState sets the state that this instance reports.
func (t *Table) SetState(s State) {
	t.state = s
	t.heartbeat++
	t.view = nil
}

// SetConfig sets the configuration that this instance reports as in force.
func (t *Table) SetConfig(v ConfigVersion) {
	t.config = v
	t.view = nil
}

// SetListed sets the instances of the platform's list; nil means that the list could not be read.
func (t *Table) SetListed(now time.Time, instances []Instance) {
	t.view = nil
	t.listed = nil
	if instances == nil {
		return
	}
	t.listed = map[string]bool{}
	for _, i := range instances {
		t.listed[i.Name] = true
		t.addListed(now, i)
	}
	for name, p := range t.peers {
		if !t.listed[name] {
			p.fire(now, "unlisted")
			t.dropForgotten(name, p)
		}
	}
}

// addListed makes an unknown instance a candidate for gossip.
func (t *Table) addListed(now time.Time, i Instance) {
	if i.Name == t.self.Name || t.peers[i.Name] != nil || len(t.peers) >= maxMembers {
		return
	}
	i.Incarnation = 0 // the list lags, so any entry from gossip replaces this one
	t.add(now, i)
}

func (t *Table) add(now time.Time, i Instance) *peer {
	p := &peer{Instance: i}
	p.machine = t.bound.New(now, p)
	t.peers[i.Name] = p
	return p
}

func (t *Table) dropForgotten(name string, p *peer) {
	if p.machine.Final() {
		delete(t.peers, name)
	}
}

// Received holds the results of a received message other than membership.
type Received struct {
	// Notices are the notices that this instance had not received before, in the order of origin and sequence.
	Notices []Notice
	// Duplicate is true when another process uses this instance's name, or when an earlier process used it while its
	// clock was ahead.
	Duplicate bool
}

// Receive processes a message of a peer. A message that fails its check changes nothing.
func (t *Table) Receive(now time.Time, m Message) (Received, error) {
	if err := m.Check(now); err != nil {
		return Received{}, err
	}
	var received Received
	for _, e := range m.Entries {
		if e.Config.Digest == 0 {
			e.Config = m.Config
		}
		if e.Name == t.self.Name {
			received.Duplicate = t.receiveOwnEntry(e) || received.Duplicate
			continue
		}
		t.receiveEntry(now, e)
	}
	for _, n := range m.Notices {
		if n.Origin != t.self.Name && t.notices.add(now, n) {
			received.Notices = append(received.Notices, n)
		}
	}
	slices.SortFunc(received.Notices, compareNotices)
	t.view = nil
	return received, nil
}

// receiveOwnEntry raises this instance's incarnation above the one that the fleet knows. Otherwise peers would treat this
// instance as outdated.
func (t *Table) receiveOwnEntry(e Entry) bool {
	if e.Incarnation < t.self.Incarnation || e.Incarnation == t.self.Incarnation && e.Heartbeat <= t.heartbeat {
		return false
	}
	t.self.Incarnation = e.Incarnation + 1
	t.heartbeat++
	return true
}

func (t *Table) receiveEntry(now time.Time, e Entry) {
	p := t.peers[e.Name]
	if p != nil && !p.olderThan(e) {
		return
	}
	if e.PeerAddress == "" && (p == nil || p.Incarnation != e.Incarnation) {
		t.requestFull = true
		return
	}
	if p == nil {
		if len(t.peers) >= maxMembers {
			return
		}
		p = t.add(now, Instance{Name: e.Name})
		defer t.dropUnlessGossiped(now, p)
	}
	p.receive(now, e)
}

// dropUnlessGossiped drops a new peer whose entry was already too old on arrival.
func (t *Table) dropUnlessGossiped(now time.Time, p *peer) {
	if !p.isGossiped(now) {
		delete(t.peers, p.Name)
	}
}

// Report starts to gossip a change of a backend server that this instance observed, unless another instance's notice
// already reported it: all instances observe a drain at about the same time.
func (t *Table) Report(now time.Time, service string, n balance.Notice) {
	if t.notices.alreadyReported(service, n) {
		return
	}
	t.noticeSequence++
	t.notices.add(now, Notice{Notice: n, Service: service, Origin: t.self.Name, Sequence: t.noticeSequence})
}

// Tick fires the timeouts that are due.
func (t *Table) Tick(now time.Time) {
	for name, p := range t.peers {
		p.tick(now)
		t.dropForgotten(name, p)
	}
	t.notices.removeExpired(now)
	t.view = nil
}

// Request returns the next message to a peer.
func (t *Table) Request(now time.Time) Message {
	m := t.message(now, func(p *peer) bool { return p.isGossiped(now) }, false)
	m.Full = t.requestFull || !t.anyPeerAlive()
	t.requestFull = false
	return m
}

// Reply returns the reply to a request that Receive has processed: the entries that its sender lacks or has outdated.
func (t *Table) Reply(now time.Time, request Message) Message {
	known := make(map[string]Entry, len(request.Entries))
	for _, e := range request.Entries {
		known[e.Name] = e
	}
	return t.message(now, func(p *peer) bool {
		e, ok := known[p.Name]
		if !ok {
			return p.isGossiped(now)
		}
		// A sender that is not the latest incarnation of its name must be notified, even when the latest one is dead.
		outdated := p.Name == request.From.Name && p.Incarnation > e.Incarnation
		return outdated || p.isGossiped(now) && e.olderThan(p)
	}, request.Full)
}

func (e Entry) olderThan(p *peer) bool {
	return p.Incarnation > e.Incarnation || p.Incarnation == e.Incarnation && p.heartbeat > e.Heartbeat
}

func (t *Table) anyPeerAlive() bool {
	for _, p := range t.peers {
		if p.countsAsAlive() {
			return true
		}
	}
	return false
}

// message builds a message from this instance's own entry and the freshest entries that the filter selects.
func (t *Table) message(now time.Time, selected func(*peer) bool, full bool) Message {
	m := Message{From: t.self, Config: t.config, Notices: t.notices.nextBatch(now)}
	m.Entries = append(m.Entries, Entry{Instance: t.self, Heartbeat: t.heartbeat, State: t.state})
	for _, p := range t.freshest(selected) {
		m.Entries = append(m.Entries, t.entry(now, p, full))
	}
	return m
}

// freshest returns the selected peers with the latest heartbeats, as many as fit beside this instance's own entry. It
// keeps only these in order during one pass, which costs less than sorting hundreds of peers for each message.
func (t *Table) freshest(selected func(*peer) bool) []*peer {
	const maxPeers = MaxEntries - 1
	fresh := make([]*peer, 0, maxPeers+1)
	for _, p := range t.peers {
		if len(fresh) == maxPeers && compareFreshness(p, fresh[maxPeers-1]) > 0 || !selected(p) {
			continue
		}
		i, _ := slices.BinarySearchFunc(fresh, p, compareFreshness)
		fresh = slices.Insert(fresh, i, p)
		fresh = fresh[:min(len(fresh), maxPeers)]
	}
	return fresh
}

func compareFreshness(x, y *peer) int {
	if c := y.heartbeatAt.Compare(x.heartbeatAt); c != 0 {
		return c
	}
	return cmp.Compare(x.Name, y.Name)
}

func (t *Table) entry(now time.Time, p *peer, full bool) Entry {
	e := Entry{Instance: p.Instance, Heartbeat: p.heartbeat, State: p.state, Age: max(0, now.Sub(p.heartbeatAt))}
	if !full && now.Sub(p.firstSeenAt) > addressGossipTime {
		e.Region, e.Zone, e.PeerAddress = "", "", ""
	}
	if p.config != t.config {
		e.Config = p.config
	}
	return e
}
