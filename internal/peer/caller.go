package peer

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// ProtocolVersion is the protocol version that this program sends and accepts.
const ProtocolVersion = 1

// Caller sends messages to other instances, which are addressed by instance name. Tests replace it with a fake.
type Caller interface {
	Gossip(ctx context.Context, to string, in *peerpb.GossipRequest) (*peerpb.GossipReply, error)
	Documents(ctx context.Context, to string, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error)
	Lease(ctx context.Context, to string, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error)
	Witness(ctx context.Context, to string, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error)
	Claim(ctx context.Context, to string, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Settle(ctx context.Context, to string, in *peerpb.SettleRequest) (*peerpb.SettleReply, error)
	Strike(ctx context.Context, to string, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error)
	Status(ctx context.Context, to string, in *peerpb.StatusRequest) (*peerpb.StatusReply, error)
}

// Handlers holds the functions that answer the messages of peers. A message without a handler is answered with
// fault.NotFound.
type Handlers struct {
	Gossip    func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error)
	Documents func(context.Context, *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error)
	Lease     func(context.Context, *peerpb.LeaseRequest) (*peerpb.LeaseReply, error)
	Witness   func(context.Context, *peerpb.WitnessRequest) (*peerpb.WitnessReply, error)
	Claim     func(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Settle    func(context.Context, *peerpb.SettleRequest) (*peerpb.SettleReply, error)
	Strike    func(context.Context, *peerpb.StrikeRequest) (*peerpb.StrikeReply, error)
	Status    func(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error)
	News      func(context.Context, *peerpb.NewsRequest) (*peerpb.NewsReply, error)
}
