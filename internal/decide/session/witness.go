package session

import "time"

// Reply is a witness's answer to a holder.
type Reply struct {
	// Acknowledged extends the session by the witness term from when the question was sent.
	Acknowledged bool
	// Renounced says that the witness will never consent to a fence, so its acknowledgement is no longer needed.
	Renounced bool
}

// Witness is the role of this instance for the sessions of others. It is owned by one task. It keeps one entry for
// each instance that has asked.
type Witness struct {
	self     Identity
	started  time.Time
	leaving  bool
	sessions map[string]*witnessed
}

type witnessed struct {
	// asked is when the holder last asked and was not refused.
	asked time.Time
	// stopped is the highest version that is no longer acknowledged, since stoppedAt.
	stopped   uint64
	stoppedAt time.Time
	renounced bool
}

// NewWitness returns the role of a process that starts now.
func NewWitness(now time.Time, self Identity) *Witness {
	return &Witness{self: self, started: now, sessions: map[string]*witnessed{}}
}

// Leave makes the witness renounce its role to each holder that asks.
func (w *Witness) Leave() { w.leaving = true }

func (w *Witness) session(holder string) *witnessed {
	s, ok := w.sessions[holder]
	if !ok {
		s = &witnessed{}
		w.sessions[holder] = s
	}
	return s
}

// Acknowledge answers a holder whose session names the witness as the given incarnation. A version that was released
// is never acknowledged again; a higher one shows that the holder has renewed in the meantime.
func (w *Witness) Acknowledge(now time.Time, holder string, version, named uint64) Reply {
	s := w.session(holder)
	if named != w.self.Incarnation || version <= s.stopped {
		return Reply{}
	}
	if w.leaving || s.renounced {
		s.renounced = true
		return Reply{Renounced: true}
	}
	s.asked = now
	return Reply{Acknowledged: true}
}

// Release stops acknowledging the session at the version and reports whether the last acknowledgement has surely run
// out, so that the session may be fenced at this version. It refuses while the holder still asks. A restarted witness
// answers for its earlier incarnation, which ended before this one could listen on the same address.
func (w *Witness) Release(now time.Time, holder string, version, named uint64) bool {
	if named > w.self.Incarnation {
		return false
	}
	if named < w.self.Incarnation {
		return now.Sub(w.started) >= WitnessTerm+WitnessMargin
	}
	s := w.session(holder)
	if s.renounced || !s.asked.IsZero() && now.Sub(s.asked) < WitnessTerm && version > s.stopped {
		return false
	}
	if version > s.stopped {
		s.stopped, s.stoppedAt = version, now
	}
	return now.Sub(s.stoppedAt) >= WitnessTerm+WitnessMargin
}
