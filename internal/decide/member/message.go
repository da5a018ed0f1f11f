package member

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// State is the lifecycle state that an instance reports about itself.
type State int

// States of an instance, in the order of its lifecycle.
const (
	Starting State = iota + 1
	Serving
	Draining
	Stopped
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}

// ConfigVersion identifies the configuration that an instance has in force.
type ConfigVersion struct {
	// Digest is a hash of the names and versions of all documents in force.
	Digest uint64
	// Fleet is the version of the fleet document in force, which lists the availability zones that are out.
	Fleet uint64
}

// Entry describes one instance in a message.
type Entry struct {
	// Instance has no region, zone and address when the sender assumes that the receiver knows them.
	Instance
	Heartbeat uint64
	State     State
	// Age is the time since the instance sent the heartbeat.
	Age time.Duration
	// Config is zero when it equals the Config of the message.
	Config ConfigVersion
}

// Notice is a change of a backend server's state that an instance observed in an answer of that server.
type Notice struct {
	balance.Notice
	Service string
	// Origin is the instance that observed the change.
	Origin string
	// Sequence orders the notices of one origin.
	Sequence uint64
}

// Message is one gossip message, a request or a reply.
type Message struct {
	From Instance
	// Entries starts with the entry of the sender.
	Entries []Entry
	Config  ConfigVersion
	Notices []Notice
	// Full asks for a reply in which every entry has its region, zone and address.
	Full bool
}

// Limits of a message. A message that exceeds one of them is rejected entirely.
const (
	MaxEntries = 32
	MaxNotices = 32
	// maxNameBytes bounds names and addresses.
	maxNameBytes = 128
	// maxIncarnationLead bounds how far ahead a peer's clock, from which its incarnation is derived, may be.
	maxIncarnationLead = 5 * time.Minute
)

// NewIncarnation returns the incarnation of an instance that starts now: milliseconds of the wall clock.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixMilli()) }

// Check returns an error for a message that a correct instance of this version cannot have sent.
func (m Message) Check(now time.Time) error {
	if len(m.Entries) == 0 || len(m.Entries) > MaxEntries {
		return badMessage("gossip message has %d entries, not 1 to %d", len(m.Entries), MaxEntries)
	}
	if len(m.Notices) > MaxNotices {
		return badMessage("gossip message has %d notices, more than %d", len(m.Notices), MaxNotices)
	}
	first := m.Entries[0]
	if first.Name != m.From.Name || first.Incarnation != m.From.Incarnation || first.PeerAddress == "" {
		return badMessage("gossip message of %q does not start with the entry of its sender", m.From.Name)
	}
	for _, e := range m.Entries {
		if err := e.check(now); err != nil {
			return err
		}
	}
	for _, n := range m.Notices {
		if !validName(n.Service) || !validName(n.Server) || !validName(n.Origin) || len(n.Incarnation) > maxNameBytes {
			return badMessage("notice of %q about server %q of service %q has a name that is empty or too long", n.Origin, n.Server, n.Service)
		}
	}
	return nil
}

func (e Entry) check(now time.Time) error {
	if !validName(e.Name) || len(e.Region) > maxNameBytes || len(e.Zone) > maxNameBytes || len(e.PeerAddress) > maxNameBytes {
		return badMessage("entry %q has a name that is empty or too long", e.Name)
	}
	if e.State < Starting || e.State > Stopped {
		return badMessage("entry %q has the unknown state %d", e.Name, int(e.State))
	}
	if e.Incarnation > NewIncarnation(now.Add(maxIncarnationLead)) {
		return badMessage("incarnation %d of instance %q lies in the future", e.Incarnation, e.Name)
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func badMessage(format string, args ...any) error {
	return fault.New(fault.BadPeer, "check the version and the clock of the instance that sent the message", format, args...)
}
