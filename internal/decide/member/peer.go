package member

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// peer is what is known of one other instance. It is the context of charts/peer.toml.
type peer struct {
	Instance
	heartbeat uint64
	state     State
	config    Version
	// heard is when the last heartbeat left the instance.
	heard time.Time
	// known is when this incarnation was first heard of.
	known time.Time
	// asked counts the direct questions since the last heartbeat.
	asked int

	machine *chart.Machine[*peer]
	// news is the entry that an event brings; the chart decides whether it is taken.
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

// take replaces what is known by the news. Region, zone and address stay as they are when the news leaves them out.
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

// olderThan reports whether an entry is news.
func (p *peer) olderThan(e Entry) bool {
	return e.Incarnation > p.Incarnation || e.Incarnation == p.Incarnation && e.Heartbeat > p.heartbeat
}

// hear fires the event of an entry as of the time when the heartbeat left its instance, so that a rumour that took
// long does not make a member look alive for longer.
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

// tick raises each timeout at the time when it was due, not when the owner woke up, so that delays do not add up.
func (p *peer) tick(now time.Time) {
	for due, ok := p.machine.Deadline(); ok && !due.After(now); due, ok = p.machine.Deadline() {
		p.machine.Tick(due)
	}
}

// present reports whether the instance is taken as alive.
func (p *peer) present() bool { return p.machine.In("alive") || p.machine.In("suspect") }

// passedOn reports whether gossip carries the entry: while the instance is alive, and for a few rounds after it left.
func (p *peer) passedOn(now time.Time) bool {
	return p.present() || p.machine.In("left") && now.Sub(p.heard) < leftPassedOn
}
