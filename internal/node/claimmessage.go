package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/httpstatus"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

var wireClaimStates = map[once.Verdict]peerpb.ClaimState{
	once.Granted:          peerpb.ClaimState_CLAIM_STATE_GRANTED,
	once.InProgress:       peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS,
	once.AlreadyAnswered:  peerpb.ClaimState_CLAIM_STATE_ANSWERED,
	once.OutcomeUnknown:   peerpb.ClaimState_CLAIM_STATE_OUTCOME_UNKNOWN,
	once.StoreUnavailable: peerpb.ClaimState_CLAIM_STATE_STORE_UNAVAILABLE,
	once.NotOwner:         peerpb.ClaimState_CLAIM_STATE_NOT_OWNER,
	once.Refused:          peerpb.ClaimState_CLAIM_STATE_REFUSED,
	once.KeyReused:        peerpb.ClaimState_CLAIM_STATE_KEY_REUSED,
}

var wireSettlements = map[once.Settlement]peerpb.Settlement{
	once.Released: peerpb.Settlement_SETTLEMENT_RELEASED,
	once.Answered: peerpb.Settlement_SETTLEMENT_ANSWERED,
	once.Unknown:  peerpb.Settlement_SETTLEMENT_UNKNOWN,
}

// HandleClaim handles a Claim message of a peer.
func (c *Claims) HandleClaim(ctx context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	partition := once.PartitionID{Regions: in.Regions, Number: in.Partition}
	m := once.ClaimRequest{
		Window: time.Duration(in.WindowMs) * time.Millisecond, Attempt: in.Attempt,
		Holder: once.Holder{Instance: in.GetSender().GetInstance(), Incarnation: in.GetSender().GetIncarnation()},
	}
	if err := c.checkMessage(in.Sender, partition, in.Digest, in.Check, in.WindowMs); err != nil {
		return nil, err
	}
	if c.layout.problem() != nil {
		return &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_STATE_REFUSED}, nil
	}
	copy(m.Digest[:], in.Digest)
	copy(m.Check[:], in.Check)
	reply, err := c.partitions.claim(ctx, partition, m)
	if err != nil {
		return nil, err
	}
	return &peerpb.ClaimReply{State: wireClaimStates[reply.Verdict], Answer: encodeAnswer(reply.Answer), Owner: reply.owner}, nil
}

// HandleSettle handles a Settle message of a peer.
func (c *Claims) HandleSettle(ctx context.Context, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	partition := once.PartitionID{Regions: in.Regions, Number: in.Partition}
	m := once.SettleRequest{
		Window: time.Duration(in.WindowMs) * time.Millisecond, Attempt: in.Attempt, Answer: decodeAnswer(in.Answer),
		Holder: once.Holder{Instance: in.GetSender().GetInstance(), Incarnation: in.GetSender().GetIncarnation()},
	}
	if err := c.checkMessage(in.Sender, partition, in.Digest, in.Check, in.WindowMs); err != nil {
		return nil, err
	}
	if c.layout.problem() != nil {
		return &peerpb.SettleReply{}, nil
	}
	c.logInvalidAnswer(in.GetSender().GetInstance(), in.Answer)
	for settlement, value := range wireSettlements {
		if value == in.Settlement {
			m.Settlement = settlement
		}
	}
	if m.Settlement == 0 {
		return nil, badClaimMessage("settlement is not known")
	}
	copy(m.Digest[:], in.Digest)
	copy(m.Check[:], in.Check)
	recorded, err := c.partitions.settle(ctx, partition, m)
	if err != nil {
		return nil, err
	}
	return &peerpb.SettleReply{Recorded: recorded}, nil
}

// maxWindowMs is the longest window that a message may request: the longest once_window plus the longest deadline.
const maxWindowMs = 25 * 60 * 60 * 1000

// checkMessage validates the fields of a ClaimRequest or SettleRequest. It is called before the message changes any
// state.
func (c *Claims) checkMessage(sender *peerpb.Sender, partition once.PartitionID, digest, check []byte, windowMs uint64) error {
	switch {
	case sender == nil || sender.Instance == "":
		return badClaimMessage("sender is missing")
	case len(digest) != len(once.Digest{}) || len(check) != len(once.ContentDigest{}):
		return badClaimMessage("digest has the wrong length")
	case windowMs == 0 || windowMs > maxWindowMs:
		return badClaimMessage("window is out of range")
	case partition.Number >= uint32(c.options.Settings.Partitions):
		return badClaimMessage("partition does not exist; claims.partitions differs between instances")
	case !regionMayHold(partition, c.options.Region) || !regionMayHold(partition, sender.Region):
		return badClaimMessage("claim is outside its home regions")
	}
	return nil
}

func badClaimMessage(problem string) error {
	return fault.New(fault.BadPeer, "run the same version with the same claims settings on all instances", "claim message was refused: %s", problem)
}

func (c *Claims) sender() *peerpb.Sender {
	return &peerpb.Sender{
		Instance: c.options.Self.Instance, Incarnation: c.options.Self.Incarnation, Region: c.options.Region, Protocol: peer.ProtocolVersion,
	}
}

func encodeClaim(sender *peerpb.Sender, held *claim) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Sender: sender, Partition: held.partition.Number, Digest: held.digest[:], WindowMs: uint64(held.window.Milliseconds()),
		Attempt: held.attempt, Regions: held.partition.Regions, Check: held.check[:],
	}
}

func encodeSettlement(sender *peerpb.Sender, s *settlement) *peerpb.SettleRequest {
	return &peerpb.SettleRequest{
		Sender: sender, Partition: s.partition.Number, Digest: s.settle.Digest[:], Attempt: s.settle.Attempt,
		Settlement: wireSettlements[s.settle.Settlement], Answer: encodeAnswer(s.settle.Answer), Regions: s.partition.Regions,
		Check: s.settle.Check[:], WindowMs: uint64(s.settle.Window.Milliseconds()),
	}
}

func decodeClaimReply(in *peerpb.ClaimReply) (claimReply, error) {
	for verdict, state := range wireClaimStates {
		if state == in.State {
			return claimReply{Reply: once.Reply{Verdict: verdict, Answer: decodeAnswer(in.Answer)}, owner: in.Owner}, nil
		}
	}
	return claimReply{}, badClaimMessage("state of the reply is not known")
}

// logInvalidAnswer logs a kept answer of a peer that is dropped for its status.
func (c *Claims) logInvalidAnswer(from string, in *peerpb.KeptAnswer) {
	if in != nil && !httpstatus.IsFinal(int(in.Status)) {
		c.options.Log.Warn("kept answer of a peer has no valid status and is dropped", "peer", from, "status", in.Status)
	}
}

func encodeAnswer(a *call.Answer) *peerpb.KeptAnswer {
	if a == nil {
		return nil
	}
	kept := &peerpb.KeptAnswer{Status: int32(a.Status), Body: a.Body}
	for _, f := range a.Header {
		kept.Header = append(kept.Header, &peerpb.HeaderField{Name: f.Name, Value: f.Value})
	}
	return kept
}

// decodeAnswer returns the kept answer of a peer. One without a valid status counts as no longer kept.
func decodeAnswer(in *peerpb.KeptAnswer) *call.Answer {
	if in == nil || !httpstatus.IsFinal(int(in.Status)) {
		return nil
	}
	a := &call.Answer{Status: int(in.Status), Body: in.Body, Length: int64(len(in.Body))}
	for _, f := range in.Header {
		a.Header = append(a.Header, call.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return a
}
