package node

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// SenderOf returns the sender field of messages of an instance.
func SenderOf(i member.Instance) *peerpb.Sender {
	return &peerpb.Sender{Instance: i.Name, Incarnation: i.Incarnation, Region: i.Region, Zone: i.Zone, Protocol: peer.ProtocolVersion}
}

// memberStateToWire and serverStateToWire map the states of the decision packages to those of messages. The receiver refuses
// a message with an unknown member state and skips a notice with an unknown server state.
var (
	memberStateToWire = map[member.State]peerpb.InstanceState{
		member.Starting: peerpb.InstanceState_INSTANCE_STATE_STARTING,
		member.Serving:  peerpb.InstanceState_INSTANCE_STATE_SERVING,
		member.Draining: peerpb.InstanceState_INSTANCE_STATE_DRAINING,
		member.Stopped:  peerpb.InstanceState_INSTANCE_STATE_STOPPED,
	}
	memberStateFromWire = invert(memberStateToWire)
	serverStateToWire   = map[balance.ReportedState]peerpb.ServerState{
		balance.Ready:    peerpb.ServerState_SERVER_STATE_READY,
		balance.Cold:     peerpb.ServerState_SERVER_STATE_COLD,
		balance.Draining: peerpb.ServerState_SERVER_STATE_DRAINING,
		balance.Down:     peerpb.ServerState_SERVER_STATE_DOWN,
	}
	serverStateFromWire = invert(serverStateToWire)
)

func invert[A, B comparable](m map[A]B) map[B]A {
	back := make(map[B]A, len(m))
	for a, b := range m {
		back[b] = a
	}
	return back
}

func encodeGossipRequest(m member.Message) *peerpb.GossipRequest {
	return &peerpb.GossipRequest{
		Sender: SenderOf(m.From), Members: encodeEntries(m.Entries), Notices: encodeNotices(m.Notices),
		ConfigDigest: m.Config.Digest, FleetVersion: m.Config.Fleet, Full: m.Full,
	}
}

func encodeGossipReply(m member.Message) *peerpb.GossipReply {
	return &peerpb.GossipReply{
		Sender: SenderOf(m.From), Members: encodeEntries(m.Entries), Notices: encodeNotices(m.Notices),
		ConfigDigest: m.Config.Digest, FleetVersion: m.Config.Fleet,
	}
}

func encodeEntries(entries []member.Entry) []*peerpb.Member {
	list := make([]*peerpb.Member, 0, len(entries))
	for _, e := range entries {
		list = append(list, &peerpb.Member{
			Instance: e.Name, Incarnation: e.Incarnation, Heartbeat: e.Heartbeat, State: memberStateToWire[e.State],
			Region: e.Region, Zone: e.Zone, PeerAddress: e.PeerAddress, AgeMs: uint32(e.Age / time.Millisecond),
			ConfigDigest: e.Config.Digest, FleetVersion: e.Config.Fleet,
		})
	}
	return list
}

func encodeNotices(notices []member.Notice) []*peerpb.ServerNotice {
	list := make([]*peerpb.ServerNotice, 0, len(notices))
	for _, n := range notices {
		list = append(list, &peerpb.ServerNotice{
			Service: n.Service, Server: n.Server, ServerIncarnation: n.Incarnation, State: serverStateToWire[n.State],
			Sequence: n.Sequence, Origin: n.Origin,
		})
	}
	return list
}

// gossipMessage has the fields that are common to requests and replies.
type gossipMessage interface {
	GetSender() *peerpb.Sender
	GetMembers() []*peerpb.Member
	GetNotices() []*peerpb.ServerNotice
	GetConfigDigest() uint64
	GetFleetVersion() uint64
}

func decodeGossip(in gossipMessage, full bool) member.Message {
	s := in.GetSender()
	m := member.Message{
		From:   member.Instance{Name: s.GetInstance(), Incarnation: s.GetIncarnation(), Region: s.GetRegion(), Zone: s.GetZone()},
		Config: member.ConfigVersion{Digest: in.GetConfigDigest(), Fleet: in.GetFleetVersion()}, Full: full,
	}
	for _, e := range in.GetMembers() {
		m.Entries = append(m.Entries, member.Entry{
			Instance: member.Instance{
				Name: e.GetInstance(), Incarnation: e.GetIncarnation(), Region: e.GetRegion(), Zone: e.GetZone(), PeerAddress: e.GetPeerAddress(),
			},
			Heartbeat: e.GetHeartbeat(), State: memberStateFromWire[e.GetState()], Age: time.Duration(e.GetAgeMs()) * time.Millisecond,
			Config: member.ConfigVersion{Digest: e.GetConfigDigest(), Fleet: e.GetFleetVersion()},
		})
	}
	for _, n := range in.GetNotices() {
		if notice, known := decodeNotice(n); known {
			m.Notices = append(m.Notices, notice)
		}
	}
	return m
}

// decodeNotice decodes a notice. It reports false if the state is unknown to this version.
func decodeNotice(n *peerpb.ServerNotice) (member.Notice, bool) {
	state, known := serverStateFromWire[n.GetState()]
	return member.Notice{
		Notice:  balance.Notice{Server: n.GetServer(), Incarnation: n.GetServerIncarnation(), State: state},
		Service: n.GetService(), Origin: n.GetOrigin(), Sequence: n.GetSequence(),
	}, known
}
