package peer

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// service checks the sender of each message and passes the message to its handler. It implements peerpb.DRPCPeerServer.
type service struct {
	handlers Handlers
	counters counters
}

type request interface{ GetSender() *peerpb.Sender }

// serve checks the sender of one message and calls its handler. It counts messages that are rejected as fault.BadPeer.
func serve[In request, Out any](s *service, ctx context.Context, in In, handle func(context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	if err := checkSender(in.GetSender()); err != nil {
		s.counters.badMessages.Inc(1)
		return zero, encodeError(err)
	}
	if handle == nil {
		return zero, encodeError(fault.New(fault.NotFound, "ask another instance", "this instance does not answer %T", in))
	}
	out, err := handle(ctx, in)
	if err != nil {
		if fault.Is(err, fault.BadPeer) {
			s.counters.badMessages.Inc(1)
		}
		return zero, encodeError(err)
	}
	return out, nil
}

// Gossip answers a gossip message.
func (s *service) Gossip(ctx context.Context, in *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return serve(s, ctx, in, s.handlers.Gossip)
}

// Documents answers with the documents that are newer than those of the sender.
func (s *service) Documents(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	return serve(s, ctx, in, s.handlers.Documents)
}

// Lease answers the lease request of a holder of slots.
func (s *service) Lease(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	return serve(s, ctx, in, s.handlers.Lease)
}

// Witness answers the holder or an observer of a session.
func (s *service) Witness(ctx context.Context, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	return serve(s, ctx, in, s.handlers.Witness)
}

// Claim answers a once-only claim.
func (s *service) Claim(ctx context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return serve(s, ctx, in, s.handlers.Claim)
}

// Settle answers the settlement of a once-only claim.
func (s *service) Settle(ctx context.Context, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return serve(s, ctx, in, s.handlers.Settle)
}

// Strike receives strikes from a peer.
func (s *service) Strike(ctx context.Context, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return serve(s, ctx, in, s.handlers.Strike)
}

// Status answers with the state of the instance.
func (s *service) Status(ctx context.Context, in *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return serve(s, ctx, in, s.handlers.Status)
}

// News answers with changes of the platform's store.
func (s *service) News(ctx context.Context, in *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	return serve(s, ctx, in, s.handlers.News)
}
