package peer

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Gossip sends a gossip message. A reply of an unknown protocol version is refused.
func (c *Client) Gossip(ctx context.Context, to string, in *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	out, err := invoke(ctx, c, to, urgent, gossipTimeout, in, peerpb.DRPCPeerClient.Gossip)
	if err != nil {
		return nil, err
	}
	if err := checkSender(out.GetSender()); err != nil {
		c.count.bad.Inc(1)
		return nil, err
	}
	return out, nil
}

// Documents asks for newer documents.
func (c *Client) Documents(ctx context.Context, to string, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	return invoke(ctx, c, to, normal, documentsTimeout, in, peerpb.DRPCPeerClient.Documents)
}

// Lease asks the keeper of a shard for slots.
func (c *Client) Lease(ctx context.Context, to string, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	return invoke(ctx, c, to, normal, leaseTimeout, in, peerpb.DRPCPeerClient.Lease)
}

// Witness asks a witness about a session.
func (c *Client) Witness(ctx context.Context, to string, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	return invoke(ctx, c, to, urgent, witnessTimeout, in, peerpb.DRPCPeerClient.Witness)
}

// Claim asks the owner of a partition to record a claim.
func (c *Client) Claim(ctx context.Context, to string, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return invoke(ctx, c, to, normal, claimTimeout, in, peerpb.DRPCPeerClient.Claim)
}

// Settle tells the owner of a partition how a claim ended.
func (c *Client) Settle(ctx context.Context, to string, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return invoke(ctx, c, to, normal, settleTimeout, in, peerpb.DRPCPeerClient.Settle)
}

// Strike tells a peer about strikes.
func (c *Client) Strike(ctx context.Context, to string, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return invoke(ctx, c, to, normal, strikeTimeout, in, peerpb.DRPCPeerClient.Strike)
}

// Status asks for the state of an instance.
func (c *Client) Status(ctx context.Context, to string, in *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return invoke(ctx, c, to, normal, statusTimeout, in, peerpb.DRPCPeerClient.Status)
}

// News asks for changes in the platform's store. The answer may be held for the time that the request says.
func (c *Client) News(ctx context.Context, to string, in *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	limit := newsTimeout + time.Duration(in.GetWaitMs())*time.Millisecond
	return invoke(ctx, c, to, normal, limit, in, peerpb.DRPCPeerClient.News)
}
