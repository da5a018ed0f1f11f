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
	config    Version
	// heard is when the instance sent the last heartbeat that arrived here.
	heard time.Time
	// known is when an entry of this incarnation first arrived.
	known time.Time
	// asked counts the direct messages that this instance has sent since the last heartbeat.
	asked int

	machine *chart.Machine[*peer]
	// news is the entry of the current event; the chart decides whether it is applied.
	news arrival
}

type arrival struct {
	entry Entry
	heard time.Time
	now   time.Time
}

func bindPeer(ch *chart.Chart) (*chart.Bound[*peer], error) {
	return chart.Bind(ch, chart.Bindings[*peer]{Actions: map[string]func(*peer){"take": (*peer).take}})
}

// take replaces the peer's data by those of the entry. An entry without an address leaves region, zone and address
// unchanged, unless its incarnation is another one.
func (p *peer) take() {
	e := p.news.entry
	if e.Incarnation != p.Incarnation {
		p.Instance = e.Instance
		p.known = p.news.now
	}
	if e.PeerAddress != "" {
		p.Instance = e.Instance
	}
	p.heartbeat, p.state, p.config, p.asked = e.Heartbeat, e.State, e.Config, 0
	if p.news.heard.After(p.heard) {
		p.heard = p.news.heard
	}
}

// olderThan reports whether an entry is newer than the peer's data.
func (p *peer) olderThan(e Entry) bool {
	return e.Incarnation > p.Incarnation || e.Incarnation == p.Incarnation && e.Heartbeat > p.heartbeat
}

// hear fires the event of an entry at the time when the instance sent the heartbeat, so that a delayed entry does not
// make a member look alive for longer.
func (p *peer) hear(now time.Time, e Entry) {
	heard := now.Add(-e.Age)
	if e.Incarnation == p.Incarnation && heard.Before(p.heard) {
		heard = p.heard
	}
	p.news = arrival{entry: e, heard: heard, now: now}
	p.fire(heard, p.eventOf(e))
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

// present reports whether the instance counts as alive, which includes suspects.
func (p *peer) present() bool { return p.machine.In("alive") || p.machine.In("suspect") }

// passedOn reports whether the entry is gossiped: while the instance counts as alive, and for some rounds after it left.
func (p *peer) passedOn(now time.Time) bool {
	return p.present() || p.machine.In("left") && now.Sub(p.heard) < leftPassedOn
}
