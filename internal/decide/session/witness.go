package session

import "time"

// Reply is a witness's answer to a holder's AckRequest.
type Reply struct {
	// Acknowledged extends the session to one witness term after the request was sent.
	Acknowledged bool
	// Renounced means that the witness will never consent to a fence, so its acknowledgement is no longer required.
	Renounced bool
}

// Witness acknowledges the sessions of other instances and consents to fencing them. It is owned by one task and keeps
// one entry for each instance that has sent a request.
type Witness struct {
	self     Identity
	started  time.Time
	leaving  bool
	sessions map[string]*witnessed
}

type witnessed struct {
	// asked is when the latest request of the holder was acknowledged.
	asked time.Time
	// stopped is the highest version that is no longer acknowledged; stoppedAt is when that began.
	stopped   uint64
	stoppedAt time.Time
	renounced bool
}

// NewWitness returns the witness of a process that starts now.
func NewWitness(now time.Time, self Identity) *Witness {
	return &Witness{self: self, started: now, sessions: map[string]*witnessed{}}
}

// Leave makes the witness renounce its role in its reply to each holder.
func (w *Witness) Leave() { w.leaving = true }

func (w *Witness) session(holder string) *witnessed {
	s, ok := w.sessions[holder]
	if !ok {
		s = &witnessed{}
		w.sessions[holder] = s
	}
	return s
}

// Acknowledge answers a holder whose session names the given incarnation of this witness. A version that was released
// is never acknowledged again; a higher version shows that the holder has renewed since.
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

// Release stops acknowledging the given version of the session. It reports whether the last acknowledgement has
// certainly expired, so that this version may be fenced. It refuses while the holder still sends requests. A restarted
// witness answers for its earlier incarnation, which ended before this one could listen on the same address.
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
