package session

import (
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

const (
	// Term is how long a renewal grants authority, counted on the holder's clock from before the renewal was sent.
	Term = 10 * time.Second
	// TermMargin allows for clock rates that differ by a tenth; it is a tenth of the term.
	TermMargin = time.Second
	// RenewInterval is the interval between renewals. It allows two renewals within the term to fail.
	RenewInterval = 3 * time.Second
	// RetryInterval is the wait before a failed call to the object API is retried.
	RetryInterval = time.Second
	// MaxWitnesses bounds the witnesses of one session. All of them must answer while the object API is down.
	MaxWitnesses = 3
	// WitnessTerm is how long an acknowledgement is valid, counted on the holder's clock from before its request was
	// sent.
	WitnessTerm = 2 * time.Second
	// WitnessMargin allows for clock rates that differ by more than a tenth.
	WitnessMargin = 500 * time.Millisecond
	// AckRequestInterval is the interval between requests to a witness. Three of them may be lost within the witness
	// term.
	AckRequestInterval = 500 * time.Millisecond
	// requestAcksAfter is the age of the last renewal at which the holder starts to send requests to its witnesses: one
	// renewal has failed.
	requestAcksAfter = Term / 2
	// maxReadAge is how long a read is current. A session that is no longer read is not fenced: its holder is live
	// again.
	maxReadAge = 3 * time.Second
	// fenceStagger is how long the other instances wait for the preferred one to fence, so that they seldom compete.
	fenceStagger = 3 * time.Second
)

// Identity identifies one process of an instance.
type Identity struct {
	Instance string
	// Incarnation increases with each start of the process.
	Incarnation uint64
}

// State is the state of a session as stored in the object API.
type State int

// States of a stored session.
const (
	// Active means that the holder may have authority.
	Active State = iota
	// Renounced means that the holder gave up the session.
	Renounced
	// Fenced means that another instance ended the session.
	Fenced
)

// Record is the value of the object sessions/<instance>.
type Record struct {
	Identity
	// Generation counts the sessions of the instance. It increases whenever a session replaces an ended one.
	Generation uint64
	// Sequence differs for each write of one process, so that the process recognizes its own write.
	Sequence uint64
	State    State
	// Witnesses are the instances of which one must consent before the session is fenced.
	Witnesses []Identity
	// FencedBy names the instance that fenced the session; empty unless the state is Fenced.
	FencedBy string
}

// Ended reports whether the session of the given generation is over, so that it can never have authority again.
func (r Record) Ended(generation uint64) bool {
	return r.Generation > generation || r.Generation == generation && r.State != Active
}

// chooseWitnesses keeps the current witnesses that are among the live peers and adds others up to MaxWitnesses.
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
		preferred, _ := member.Rendezvous("witness/"+self.Instance, rest)
		chosen = append(chosen, Identity{preferred.Name, preferred.Incarnation})
		rest = slices.DeleteFunc(rest, func(p member.Instance) bool { return p.Name == preferred.Name })
	}
	return chosen
}

// Authority is the right to act as keeper. It is an immutable snapshot that is shared with other tasks.
type Authority struct {
	// Generation is the generation of the session. Everything owned under a lower generation is lost.
	Generation uint64
	// ExpiresAt is when the authority expires on the clock of this instance; zero when there is none.
	ExpiresAt time.Time
}

// Valid reports whether the authority has not expired at the given time.
func (a Authority) Valid(now time.Time) bool { return now.Before(a.ExpiresAt) }
