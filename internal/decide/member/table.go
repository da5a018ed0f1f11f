package member

import (
	"cmp"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

const (
	// leftPassedOn is how long gossip carries the announcement of a stop: a dozen rounds.
	leftPassedOn = 6 * time.Second
	// newsTime is how long entries of a new incarnation carry region, zone and address unasked.
	newsTime = 10 * time.Second
	// maxMembers bounds the entries in memory; entries of unknown instances beyond it are ignored.
	maxMembers = 4096
)

// Table is what one instance knows of the fleet. It is owned by one task.
type Table struct {
	self      Instance
	heartbeat uint64
	state     State
	config    Version

	bound  *chart.Bound[*peer]
	peers  map[string]*peer
	listed map[string]bool
	seeds  []string

	board    noticeBoard
	sequence uint64
	round    uint64
	// full is true after an entry of an unknown incarnation came without address.
	full bool
	view *View
}

// New returns a table that knows only its own instance. Seeds are addresses of instances that are asked first; they
// may be empty when the platform's list names instances.
func New(ch *chart.Chart, self Instance, seeds []string) (*Table, error) {
	bound, err := bindPeer(ch)
	if err != nil {
		return nil, err
	}
	return &Table{
		self: self, state: Starting, bound: bound, peers: map[string]*peer{}, seeds: seeds,
		board: noticeBoard{kept: map[noticeKey]*keptNotice{}}, sequence: self.Incarnation,
	}, nil
}

// Self returns this instance. Its incarnation rises when the fleet remembers a later one under its name.
func (t *Table) Self() Instance { return t.self }

// SetState changes what this instance says of itself.
func (t *Table) SetState(s State) {
	t.state = s
	t.heartbeat++
	t.view = nil
}

// SetConfig changes the configuration that this instance says it has in force.
func (t *Table) SetConfig(v Version) {
	t.config = v
	t.view = nil
}

// List replaces what the platform's list says; nil means that it could not be read.
func (t *Table) List(now time.Time, instances []Instance) {
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
	i.Incarnation = 0 // the list lags: whatever gossip brings replaces it
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

// Heard is what a message brought besides membership.
type Heard struct {
	// Notices are those that are new here, in the order of origin and sequence.
	Notices []Notice
	// Duplicate is true when another process uses the name of this instance, or an earlier one used it with a clock
	// that was ahead.
	Duplicate bool
}

// Receive takes a message of a peer. A message that is refused changes nothing.
func (t *Table) Receive(now time.Time, m Message) (Heard, error) {
	if err := m.Check(now); err != nil {
		return Heard{}, err
	}
	var heard Heard
	for _, e := range m.Entries {
		if e.Config.Digest == 0 {
			e.Config = m.Config
		}
		if e.Name == t.self.Name {
			heard.Duplicate = t.hearSelf(e) || heard.Duplicate
			continue
		}
		t.hear(now, e)
	}
	for _, n := range m.Notices {
		if n.Origin != t.self.Name && t.board.add(now, n) {
			heard.Notices = append(heard.Notices, n)
		}
	}
	slices.SortFunc(heard.Notices, compareNotices)
	t.view = nil
	return heard, nil
}

// hearSelf raises the own incarnation above one that the fleet remembers, else peers would take this instance as the
// stale one.
func (t *Table) hearSelf(e Entry) bool {
	if e.Incarnation < t.self.Incarnation || e.Incarnation == t.self.Incarnation && e.Heartbeat <= t.heartbeat {
		return false
	}
	t.self.Incarnation = e.Incarnation + 1
	t.heartbeat++
	return true
}

func (t *Table) hear(now time.Time, e Entry) {
	p := t.peers[e.Name]
	if p != nil && !p.olderThan(e) {
		return
	}
	if e.PeerAddress == "" && (p == nil || p.Incarnation != e.Incarnation) {
		t.full = true
		return
	}
	if p == nil {
		if len(t.peers) >= maxMembers {
			return
		}
		p = t.add(now, Instance{Name: e.Name})
		defer t.dropUnlessPassedOn(now, p)
	}
	p.hear(now, e)
}

// dropUnlessPassedOn drops a new entry that was dead on arrival.
func (t *Table) dropUnlessPassedOn(now time.Time, p *peer) {
	if !p.passedOn(now) {
		delete(t.peers, p.Name)
	}
}

// Report starts to spread a change of a backend server that this instance saw, unless the same was heard from another
// instance: all instances see a drain at about the same time.
func (t *Table) Report(now time.Time, service string, n balance.Notice) {
	if t.board.says(service, n) {
		return
	}
	t.sequence++
	t.board.add(now, Notice{Notice: n, Service: service, Origin: t.self.Name, Sequence: t.sequence})
}

// Tick raises the timeouts that are due.
func (t *Table) Tick(now time.Time) {
	for name, p := range t.peers {
		p.tick(now)
		t.dropForgotten(name, p)
	}
	t.board.forget(now)
	t.view = nil
}

// Request returns the next message to a peer.
func (t *Table) Request(now time.Time) Message {
	m := t.message(now, func(p *peer) bool { return p.passedOn(now) }, false)
	m.Full = t.full || !t.anyPresent()
	t.full = false
	return m
}

// Reply returns the answer to a request that Receive has taken: what the sender did not know.
func (t *Table) Reply(now time.Time, request Message) Message {
	known := make(map[string]Entry, len(request.Entries))
	for _, e := range request.Entries {
		known[e.Name] = e
	}
	return t.message(now, func(p *peer) bool {
		e, ok := known[p.Name]
		if !ok {
			return p.passedOn(now)
		}
		// A sender that is not the latest incarnation of its name must learn so, even when that one is dead.
		outdated := p.Name == request.From.Name && p.Incarnation > e.Incarnation
		return outdated || p.passedOn(now) && e.olderThan(p)
	}, request.Full)
}

func (e Entry) olderThan(p *peer) bool {
	return p.Incarnation > e.Incarnation || p.Incarnation == e.Incarnation && p.heartbeat > e.Heartbeat
}

func (t *Table) anyPresent() bool {
	for _, p := range t.peers {
		if p.present() {
			return true
		}
	}
	return false
}

// message builds a message of the own entry and the freshest entries among those that the filter selects.
func (t *Table) message(now time.Time, selected func(*peer) bool, full bool) Message {
	m := Message{From: t.self, Config: t.config, Notices: t.board.next(now)}
	m.Entries = append(m.Entries, Entry{Instance: t.self, Heartbeat: t.heartbeat, State: t.state})
	for _, p := range t.freshest(selected) {
		m.Entries = append(m.Entries, t.entry(now, p, full))
	}
	return m
}

// freshest returns the selected peers whose heartbeats are the latest, as many as fit beside the own entry. It keeps
// them in order while it goes over the peers, which costs less than to sort hundreds for each message.
func (t *Table) freshest(selected func(*peer) bool) []*peer {
	const room = MaxEntries - 1
	fresh := make([]*peer, 0, room+1)
	for _, p := range t.peers {
		if len(fresh) == room && compareFresh(p, fresh[room-1]) > 0 || !selected(p) {
			continue
		}
		i, _ := slices.BinarySearchFunc(fresh, p, compareFresh)
		fresh = slices.Insert(fresh, i, p)
		fresh = fresh[:min(len(fresh), room)]
	}
	return fresh
}

func compareFresh(x, y *peer) int {
	if c := y.heard.Compare(x.heard); c != 0 {
		return c
	}
	return cmp.Compare(x.Name, y.Name)
}

func (t *Table) entry(now time.Time, p *peer, full bool) Entry {
	e := Entry{Instance: p.Instance, Heartbeat: p.heartbeat, State: p.state, Age: max(0, now.Sub(p.heard))}
	if !full && now.Sub(p.known) > newsTime {
		e.Region, e.Zone, e.PeerAddress = "", "", ""
	}
	if p.config != t.config {
		e.Config = p.config
	}
	return e
}
