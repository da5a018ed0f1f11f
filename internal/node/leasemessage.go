package node

import (
	"math"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// maxLeaseEntries bounds each list of a lease message, which covers the servers of one service in one zone.
const maxLeaseEntries = 4096

func encodeLeaseRequest(self member.Instance, key keeper.Key, req keeper.Request) *peerpb.LeaseRequest {
	out := &peerpb.LeaseRequest{
		Sender: senderOf(self), Service: key.Service, Zone: key.Zone, Want: encodeCount(req.Want), Leaving: req.Leaving, Sequence: req.Sequence,
	}
	for _, h := range req.Held {
		out.Held = append(out.Held, &peerpb.HeldLease{Server: h.Server, Slots: encodeCount(h.Slots), Busy: encodeCount(h.Busy)})
	}
	out.Reports = encodeServerReports(req.Reports)
	return out
}

func encodeServerReports(reports []balance.Report) []*peerpb.ServerReport {
	var out []*peerpb.ServerReport
	for _, r := range reports {
		out = append(out, &peerpb.ServerReport{
			Server: r.Server, ServerIncarnation: r.Incarnation, State: encodeServerState(r.State), Good: encodeCount(r.Good), Bad: encodeCount(r.Bad),
			LatencyUs: uint64(max(0, r.Latency.Microseconds())), Load: encodeCount(r.Running), Slots: encodeCount(r.Slots),
		})
	}
	return out
}

func encodeCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func encodeServerState(s balance.ReportedState) peerpb.ServerState {
	return [...]peerpb.ServerState{
		balance.Ready: peerpb.ServerState_SERVER_STATE_READY, balance.Cold: peerpb.ServerState_SERVER_STATE_COLD,
		balance.Draining: peerpb.ServerState_SERVER_STATE_DRAINING, balance.Down: peerpb.ServerState_SERVER_STATE_DOWN,
	}[s]
}

// decodeServerState decodes a server state. Peers with a newer protocol version are rejected earlier, so an unknown
// value is malformed.
func decodeServerState(s peerpb.ServerState) (balance.ReportedState, bool) {
	if s < peerpb.ServerState_SERVER_STATE_READY || s > peerpb.ServerState_SERVER_STATE_DOWN {
		return balance.Ready, false
	}
	return balance.ReportedState(s - peerpb.ServerState_SERVER_STATE_READY), true
}

func decodeLeaseRequest(in *peerpb.LeaseRequest) (keeper.Key, keeper.Request, error) {
	key := keeper.Key{Service: in.GetService(), Zone: in.GetZone()}
	if len(in.GetHeld()) > maxLeaseEntries {
		return key, keeper.Request{}, malformedLease(key)
	}
	reports, err := decodeServerReports(key, in.GetReports())
	if err != nil {
		return key, keeper.Request{}, err
	}
	req := keeper.Request{
		Holder:   session.Identity{Instance: in.GetSender().GetInstance(), Incarnation: in.GetSender().GetIncarnation()},
		Sequence: in.GetSequence(), Want: decodeCount(in.GetWant()), Leaving: in.GetLeaving(), Reports: reports,
	}
	for _, h := range in.GetHeld() {
		req.Held = append(req.Held, keeper.HeldSlots{Server: h.GetServer(), Slots: decodeCount(h.GetSlots()), Busy: decodeCount(h.GetBusy())})
	}
	return key, req, nil
}

func decodeServerReports(key keeper.Key, in []*peerpb.ServerReport) ([]balance.Report, error) {
	if len(in) > maxLeaseEntries {
		return nil, malformedLease(key)
	}
	var out []balance.Report
	for _, r := range in {
		state, ok := decodeServerState(r.GetState())
		if !ok {
			return nil, malformedLease(key)
		}
		out = append(out, balance.Report{
			Server: r.GetServer(), Incarnation: r.GetServerIncarnation(), State: state, Good: decodeCount(r.GetGood()), Bad: decodeCount(r.GetBad()),
			Latency: time.Duration(min(r.GetLatencyUs(), maxLatencyMicroseconds)) * time.Microsecond,
			Running: decodeCount(r.GetLoad()), Slots: decodeCount(r.GetSlots()),
		})
	}
	return out, nil
}

const (
	// maxCount bounds received counts, so that sums of them cannot overflow.
	maxCount = 1 << 20
	// maxLatencyMicroseconds is one hour, the longest deadline of a request.
	maxLatencyMicroseconds = 3_600_000_000
)

func decodeCount(n uint32) int { return int(min(n, maxCount)) }

func malformedLease(key keeper.Key) error {
	return fault.New(fault.BadPeer, "run the same version on all instances", "lease message for shard %s is malformed", key)
}

func encodeLeaseReply(r keeper.Reply) *peerpb.LeaseReply {
	out := &peerpb.LeaseReply{Epoch: r.Epoch, TermMs: uint32(r.Term.Milliseconds()), Servers: encodeServerReports(r.Servers)}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, &peerpb.Grant{Server: g.Server, ServerIncarnation: g.Incarnation, Slots: encodeCount(g.Slots), Cold: g.Cold})
	}
	return out
}

func decodeLeaseReply(key keeper.Key, in *peerpb.LeaseReply) (keeper.Reply, error) {
	if len(in.GetGrants()) > maxLeaseEntries {
		return keeper.Reply{}, malformedLease(key)
	}
	servers, err := decodeServerReports(key, in.GetServers())
	if err != nil {
		return keeper.Reply{}, err
	}
	r := keeper.Reply{Epoch: in.GetEpoch(), Term: time.Duration(in.GetTermMs()) * time.Millisecond, Servers: servers}
	for _, g := range in.GetGrants() {
		r.Grants = append(r.Grants, balance.SlotGrant{
			Server: g.GetServer(), Incarnation: g.GetServerIncarnation(), Slots: decodeCount(g.GetSlots()), Cold: g.GetCold(),
		})
	}
	return r, nil
}
