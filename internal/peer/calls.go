package peer

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Gossip sends a gossip message. A reply of an unknown protocol version is rejected.
func (c *Client) Gossip(ctx context.Context, to string, in *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	out, err := invoke(ctx, c, to, urgentClass, gossipTimeout, in, peerpb.DRPCPeerClient.Gossip)
	if err != nil {
		return nil, err
	}
	if err := checkSender(out.GetSender()); err != nil {
		c.counters.badMessages.Inc(1)
		return nil, err
	}
	return out, nil
}

// Documents requests newer documents.
func (c *Client) Documents(ctx context.Context, to string, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	return invoke(ctx, c, to, normalClass, documentsTimeout, in, peerpb.DRPCPeerClient.Documents)
}

// Lease requests slots from the keeper of a shard.
func (c *Client) Lease(ctx context.Context, to string, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	return invoke(ctx, c, to, normalClass, leaseTimeout, in, peerpb.DRPCPeerClient.Lease)
}

// Witness sends a request about a session to a witness.
func (c *Client) Witness(ctx context.Context, to string, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	return invoke(ctx, c, to, urgentClass, witnessTimeout, in, peerpb.DRPCPeerClient.Witness)
}

// Claim asks the owner of a partition to record a claim.
func (c *Client) Claim(ctx context.Context, to string, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return invoke(ctx, c, to, normalClass, claimTimeout, in, peerpb.DRPCPeerClient.Claim)
}

// Settle reports the result of a claim to the owner of a partition.
func (c *Client) Settle(ctx context.Context, to string, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return invoke(ctx, c, to, normalClass, settleTimeout, in, peerpb.DRPCPeerClient.Settle)
}

// Strike sends strikes to a peer.
func (c *Client) Strike(ctx context.Context, to string, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return invoke(ctx, c, to, normalClass, strikeTimeout, in, peerpb.DRPCPeerClient.Strike)
}

// Status requests the state of an instance.
func (c *Client) Status(ctx context.Context, to string, in *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return invoke(ctx, c, to, normalClass, statusTimeout, in, peerpb.DRPCPeerClient.Status)
}

// News requests changes of the platform's store (long poll). The peer may hold its answer for the wait of the request.
func (c *Client) News(ctx context.Context, to string, in *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	limit := newsTimeout + time.Duration(in.GetWaitMs())*time.Millisecond
	return invoke(ctx, c, to, normalClass, limit, in, peerpb.DRPCPeerClient.News)
}
