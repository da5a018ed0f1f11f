package member

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// peer is the local knowledge about one other instance. It is the context of charts/peer.toml.
type peer struct {
	Instance
	heartbeat uint64
	state     State
	config    ConfigVersion
	// heartbeatAt is when the instance sent the last heartbeat that arrived here.
	heartbeatAt time.Time
	// firstSeenAt is when an entry of this incarnation first arrived.
	firstSeenAt time.Time
	// directMessages counts the direct messages that this instance has sent since the last heartbeat.
	directMessages int

	machine *chart.Machine[*peer]
	// received is the entry of the current event; the chart decides whether it is applied.
	received receivedEntry
}

type receivedEntry struct {
	entry       Entry
	heartbeatAt time.Time
	now         time.Time
}

func bindPeer(ch *chart.Chart) (*chart.Bound[*peer], error) {
	return chart.Bind(ch, chart.Bindings[*peer]{Actions: map[string]func(*peer){"apply_entry": (*peer).applyEntry}})
}

// applyEntry replaces the peer's data with the data of the entry. An entry without an address leaves region, zone and
// address unchanged, unless it is of a different incarnation.
func (p *peer) applyEntry() {
	e := p.received.entry
	if e.Incarnation != p.Incarnation {
		p.Instance = e.Instance
		p.firstSeenAt = p.received.now
	}
	if e.PeerAddress != "" {
		p.Instance = e.Instance
	}
	p.heartbeat, p.state, p.config, p.directMessages = e.Heartbeat, e.State, e.Config, 0
	if p.received.heartbeatAt.After(p.heartbeatAt) {
		p.heartbeatAt = p.received.heartbeatAt
	}
}

// olderThan reports whether an entry is newer than the peer's data.
func (p *peer) olderThan(e Entry) bool {
	return e.Incarnation > p.Incarnation || e.Incarnation == p.Incarnation && e.Heartbeat > p.heartbeat
}

// receive fires the event of an entry at the time when the instance sent the heartbeat, so that a delayed entry does not
// make a member look alive for longer.
func (p *peer) receive(now time.Time, e Entry) {
	heartbeatAt := now.Add(-e.Age)
	if e.Incarnation == p.Incarnation && heartbeatAt.Before(p.heartbeatAt) {
		heartbeatAt = p.heartbeatAt
	}
	p.received = receivedEntry{entry: e, heartbeatAt: heartbeatAt, now: now}
	p.fire(heartbeatAt, p.eventOf(e))
	p.tick(now)
}

func (p *peer) eventOf(e Entry) string {
	switch {
	case e.State == Stopped:
		return "stopped"
	case e.Incarnation != p.Incarnation:
		return "restarted"
	}
	return "heartbeat"
}

func (p *peer) fire(at time.Time, event string) {
	if err := p.machine.Fire(at, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// tick fires each timeout with the time when it was due, not when the owner woke up, so that delays do not accumulate.
func (p *peer) tick(now time.Time) {
	for due, ok := p.machine.Deadline(); ok && !due.After(now); due, ok = p.machine.Deadline() {
		p.machine.Tick(due)
	}
}

// countsAsAlive reports whether the instance counts as alive, which includes suspects.
func (p *peer) countsAsAlive() bool { return p.machine.In("alive") || p.machine.In("suspect") }

// isGossiped reports whether the entry is gossiped: while the instance counts as alive, and for some rounds after it left.
func (p *peer) isGossiped(now time.Time) bool {
	return p.countsAsAlive() || p.machine.In("left") && now.Sub(p.heartbeatAt) < leftGossipTime
}
