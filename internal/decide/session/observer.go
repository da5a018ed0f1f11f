package session

import (
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// Observer decides which sessions of other instances may be fenced. It is owned by one task.
type Observer struct {
	self     Identity
	sessions map[string]*observedSession
}

type observedSession struct {
	version uint64
	record  Record
	// firstSeenAt is when this version was first seen, on the local clock.
	firstSeenAt time.Time
	// lastSeenAt is when this version was last seen.
	lastSeenAt time.Time
	// released is true when a witness has consented to fencing this version.
	released     bool
	nextActionAt time.Time
}

// Action is the next step for a session that may be dead: fence it, or ask its witnesses for a release.
type Action struct {
	Holder  string
	Version uint64
	// Record is the new value for the conditional update. It is set only when Fence is true.
	Record Record
	Fence  bool
	// AskWitnesses lists the witnesses that the session names, to be asked for a release.
	AskWitnesses []Identity
}

// NewObserver returns an observer without any sessions.
func NewObserver(self Identity) *Observer {
	return &Observer{self: self, sessions: map[string]*observedSession{}}
}

// Observe records a session that was read from the object API. The time now must be taken after the answer arrived.
func (o *Observer) Observe(now time.Time, version uint64, record Record) {
	known, ok := o.sessions[record.Instance]
	if ok && version < known.version {
		return
	}
	if ok && version == known.version {
		known.lastSeenAt = now
		return
	}
	o.sessions[record.Instance] = &observedSession{version: version, record: record, firstSeenAt: now, lastSeenAt: now}
}

// Sessions returns the latest known session of each instance.
func (o *Observer) Sessions() map[string]Record {
	records := make(map[string]Record, len(o.sessions))
	for name, s := range o.sessions {
		records[name] = s.record
	}
	return records
}

// RecordRelease records that a witness has consented to fencing the given version.
func (o *Observer) RecordRelease(holder string, version uint64) {
	if s, ok := o.sessions[holder]; ok && s.version == version {
		s.released = true
		s.nextActionAt = time.Time{}
	}
}

// DueActions returns the actions that are due for sessions that have not changed for the term and its margin.
func (o *Observer) DueActions(now time.Time, witness *Witness, view *member.View) []Action {
	var actions []Action
	for holder, s := range o.sessions {
		if s.record.State != Active || s.record.Identity == o.self || now.Sub(s.lastSeenAt) > maxReadAge ||
			now.Before(o.dueAt(holder, s, view)) {
			continue
		}
		s.nextActionAt = now.Add(RetryInterval)
		actions = append(actions, o.action(now, holder, s, witness, view))
	}
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.Holder, b.Holder) })
	return actions
}

// dueAt returns the time from which to act on a session. One preferred instance acts first, so that instances seldom
// compete to fence the same session.
func (o *Observer) dueAt(holder string, s *observedSession, view *member.View) time.Time {
	at := s.firstSeenAt.Add(Term + TermMargin)
	preferred, hasPreferred := member.Rendezvous("fence/"+holder, view.In(view.Self.Region))
	if hasPreferred && preferred.Name != o.self.Instance && holder != o.self.Instance {
		at = at.Add(fenceStagger)
	}
	return later(at, s.nextActionAt)
}

func (o *Observer) action(now time.Time, holder string, s *observedSession, witness *Witness, view *member.View) Action {
	if !o.mayFence(now, holder, s, witness, view) {
		return Action{Holder: holder, Version: s.version, AskWitnesses: s.record.Witnesses}
	}
	fenced := s.record
	fenced.State = Fenced
	fenced.FencedBy = o.self.Instance
	return Action{Holder: holder, Version: s.version, Record: fenced, Fence: true}
}

// mayFence reports whether the session may be fenced. One of these must be true: a witness released it, this instance
// is a witness and has stopped acknowledging it, it has no witnesses and so cannot be extended past its term, or neither
// the platform's list, which must be readable, nor gossip names its holder or a witness.
func (o *Observer) mayFence(now time.Time, holder string, s *observedSession, witness *Witness, view *member.View) bool {
	if s.released || len(s.record.Witnesses) == 0 {
		return true
	}
	for _, w := range s.record.Witnesses {
		if w.Instance == o.self.Instance && witness.Release(now, holder, s.version, w.Incarnation) {
			return true
		}
	}
	return view.Listed != nil && !o.mayStillRun(s, view)
}

// mayStillRun reports whether the holder or a witness may still run: the platform's list names it, or gossip sees it as
// live, because the list lags and may lack new instances. This instance's own name in the list stands for this process
// and not for an earlier one.
func (o *Observer) mayStillRun(s *observedSession, view *member.View) bool {
	if view.Listed[s.record.Instance] && s.record.Instance != o.self.Instance {
		return true
	}
	listed := func(w Identity) bool { return view.Listed[w.Instance] }
	return slices.ContainsFunc(s.record.Witnesses, listed) ||
		slices.ContainsFunc(append([]Identity{s.record.Identity}, s.record.Witnesses...), func(id Identity) bool { return isLive(id, view.Live) })
}
