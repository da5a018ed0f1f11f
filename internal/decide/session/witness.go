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
	self      Identity
	startedAt time.Time
	leaving   bool
	sessions  map[string]*witnessedSession
}

type witnessedSession struct {
	// lastAckAt is when the latest request of the holder was acknowledged.
	lastAckAt time.Time
	// stoppedVersion is the highest version that is no longer acknowledged; stoppedAt is when that began.
	stoppedVersion uint64
	stoppedAt      time.Time
	renounced      bool
}

// NewWitness returns the witness of a process that starts now.
func NewWitness(now time.Time, self Identity) *Witness {
	return &Witness{self: self, startedAt: now, sessions: map[string]*witnessedSession{}}
}

// Leave makes the witness renounce its role in its reply to each holder.
func (w *Witness) Leave() { w.leaving = true }

func (w *Witness) entry(holder string) *witnessedSession {
	s, ok := w.sessions[holder]
	if !ok {
		s = &witnessedSession{}
		w.sessions[holder] = s
	}
	return s
}

// Acknowledge answers a holder whose session names the given incarnation of this witness. A version that was released
// is never acknowledged again; a higher version shows that the holder has renewed since.
func (w *Witness) Acknowledge(now time.Time, holder string, version, namedIncarnation uint64) Reply {
	s := w.entry(holder)
	if namedIncarnation != w.self.Incarnation || version <= s.stoppedVersion {
		return Reply{}
	}
	if w.leaving || s.renounced {
		s.renounced = true
		return Reply{Renounced: true}
	}
	s.lastAckAt = now
	return Reply{Acknowledged: true}
}

// Release stops acknowledging the given version of the session. It reports whether the last acknowledgement has
// certainly expired, so that this version may be fenced. It refuses while the holder still sends requests. A restarted
// witness answers for its earlier incarnation, which ended before this one could listen on the same address.
func (w *Witness) Release(now time.Time, holder string, version, namedIncarnation uint64) bool {
	if namedIncarnation > w.self.Incarnation {
		return false
	}
	if namedIncarnation < w.self.Incarnation {
		return now.Sub(w.startedAt) >= WitnessTerm+WitnessMargin
	}
	s := w.entry(holder)
	if s.renounced || !s.lastAckAt.IsZero() && now.Sub(s.lastAckAt) < WitnessTerm && version > s.stoppedVersion {
		return false
	}
	if version > s.stoppedVersion {
		s.stoppedVersion, s.stoppedAt = version, now
	}
	return now.Sub(s.stoppedAt) >= WitnessTerm+WitnessMargin
}
