package session

import (
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

const (
	// Term is how long a renewal gives authority, on the holder's clock from before the renewal was sent.
	Term = 10 * time.Second
	// TermMargin covers clocks that run apart by a tenth of the term.
	TermMargin = time.Second
	// RenewEvery leaves room for two failed renewals within the term.
	RenewEvery = 3 * time.Second
	// RetryEvery is the wait before a failed call to the object API is repeated.
	RetryEvery = time.Second
	// MaxWitnesses bounds the witnesses of one session. Each one must answer while the object API is down.
	MaxWitnesses = 3
	// WitnessTerm is how long an acknowledgement holds, on the holder's clock from before it was asked for.
	WitnessTerm = 2 * time.Second
	// WitnessMargin covers clocks that run apart by more than a tenth of the witness term.
	WitnessMargin = 500 * time.Millisecond
	// AskEvery lets three questions to a witness be lost within the witness term.
	AskEvery = 500 * time.Millisecond
	// askAfter is the age of the last renewal at which the holder starts to ask its witnesses: one renewal has failed.
	askAfter = Term / 2
	// sightTerm is how long a read counts. Sessions that are no longer read are not fenced: the owner is live again.
	sightTerm = 3 * time.Second
	// fenceStagger is how much later than the preferred instance the others fence, so that they seldom compete.
	fenceStagger = 3 * time.Second
)

// Identity is one run of one instance.
type Identity struct {
	Instance string
	// Incarnation grows with each start of the process.
	Incarnation uint64
}

// State says whether a session can still have authority.
type State int

// States of a session in the object API.
const (
	// Active sessions may have authority.
	Active State = iota
	// Renounced sessions were given up by their holder.
	Renounced
	// Fenced sessions were ended by another instance.
	Fenced
)

// Record is the value of the object sessions/<instance>.
type Record struct {
	Identity
	// Generation counts the sessions of the instance. It grows whenever a session replaces an ended one.
	Generation uint64
	// Sequence differs for each write of one process, so that the process recognizes its own write.
	Sequence uint64
	State    State
	// Witnesses are the instances without whose consent the session is not fenced.
	Witnesses []Identity
	// FencedBy names the instance that fenced the session; empty for others.
	FencedBy string
}

// Ended reports whether the session of the given generation can never have authority again.
func (r Record) Ended(generation uint64) bool {
	return r.Generation > generation || r.Generation == generation && r.State != Active
}

// chooseWitnesses keeps the witnesses that are alive and fills up with further peers.
func chooseWitnesses(self Identity, current []Identity, peers []member.Instance) []Identity {
	chosen := make([]Identity, 0, MaxWitnesses)
	var rest []member.Instance
	for _, p := range peers {
		id := Identity{p.Name, p.Incarnation}
		switch {
		case p.Name == self.Instance:
		case slices.Contains(current, id) && len(chosen) < MaxWitnesses:
			chosen = append(chosen, id)
		default:
			rest = append(rest, p)
		}
	}
	for len(chosen) < MaxWitnesses && len(rest) > 0 {
		next, _ := member.Rendezvous("witness/"+self.Instance, rest)
		chosen = append(chosen, Identity{next.Name, next.Incarnation})
		rest = slices.DeleteFunc(rest, func(p member.Instance) bool { return p.Name == next.Name })
	}
	return chosen
}

// Authority is the right to act as keeper. It is an immutable snapshot that other tasks read.
type Authority struct {
	// Generation is that of the session. Whatever was owned under a lower one is lost.
	Generation uint64
	// Until is when the authority ends on the clock of this instance; zero when there is none.
	Until time.Time
}

// Valid reports whether the authority holds at the time.
func (a Authority) Valid(now time.Time) bool { return now.Before(a.Until) }
