package node

import (
	"context"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Limits of a Strike message.
const (
	maxStrikes    = 256
	maxCrashBytes = 512
	maxTrialMs    = 2 * 60 * 60 * 1000
)

// HandleStrike handles a Strike message of a peer.
func (q *Quarantine) HandleStrike(ctx context.Context, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	if in.GetSender().GetInstance() == "" || len(in.Strikes)+len(in.Cleared) > maxStrikes {
		return nil, badStrikeMessage("sender is missing or the message is too long")
	}
	m := peerStrikes{}
	now := time.Now()
	for _, s := range in.Strikes {
		strike, err := decodeStrike(now, s)
		if err != nil {
			return nil, err
		}
		m.strikes = append(m.strikes, strike)
	}
	for _, f := range in.Cleared {
		fingerprint, err := decodeFingerprint(f)
		if err != nil {
			return nil, err
		}
		m.cleared = append(m.cleared, fingerprint)
	}
	if err := q.applyPeerStrikes(ctx, m); err != nil {
		return nil, err
	}
	return q.handleTrial(ctx, now, in)
}

// applyPeerStrikes passes strikes and clearings to the task and waits until they are published.
func (q *Quarantine) applyPeerStrikes(ctx context.Context, m peerStrikes) error {
	if len(m.strikes)+len(m.cleared) == 0 {
		return nil
	}
	done := make(chan struct{})
	m.done = done
	q.inbox.SendUntil(q.ended, m)
	_, err := awaitReply(ctx, q.ended, done)
	return err
}

// handleTrial grants or ends a trial, if the message has one.
func (q *Quarantine) handleTrial(ctx context.Context, now time.Time, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	if in.Trial == nil {
		return &peerpb.StrikeReply{}, nil
	}
	if in.Trial.TermMs > maxTrialMs {
		return nil, badStrikeMessage("term of a trial is out of range")
	}
	s := quarantine.Server{Service: in.Trial.Service, Name: in.Trial.Server}
	t := trial{holder: in.Sender.Instance, number: in.Trial.Number, expiresAt: now.Add(time.Duration(in.Trial.TermMs) * time.Millisecond)}
	if in.Trial.Ended {
		q.inbox.SendUntil(q.ended, trialEnd{server: s, trial: t})
		return &peerpb.StrikeReply{}, nil
	}
	return &peerpb.StrikeReply{TrialGranted: q.requestLocalTrial(ctx, s, t)}, nil
}

func badStrikeMessage(problem string) error {
	return fault.New(fault.BadPeer, "run the same version on all instances", "strike message was refused: %s", problem)
}

func decodeFingerprint(in []byte) (quarantine.Fingerprint, error) {
	var f quarantine.Fingerprint
	if len(in) != len(f) {
		return f, badStrikeMessage("fingerprint has the wrong length")
	}
	copy(f[:], in)
	return f, nil
}

// decodeStrike decodes a strike. Names of services and servers contain no "/", so the crash splits into three parts.
func decodeStrike(now time.Time, in *peerpb.Strike) (quarantine.Strike, error) {
	f, err := decodeFingerprint(in.Fingerprint)
	if err != nil {
		return quarantine.Strike{}, err
	}
	parts := strings.SplitN(in.Crash, "/", 3)
	if len(parts) != 3 || len(in.Crash) > maxCrashBytes || in.AgeMs > maxTrialMs {
		return quarantine.Strike{}, badStrikeMessage("crash is malformed")
	}
	return quarantine.Strike{Fingerprint: f, Crash: quarantine.Crash{
		Server:      quarantine.Server{Service: parts[0], Name: parts[1]},
		Incarnation: parts[2],
		At:          now.Add(-time.Duration(in.AgeMs) * time.Millisecond),
	}}, nil
}

func encodeStrike(s quarantine.Strike) *peerpb.Strike {
	c := s.Crash
	return &peerpb.Strike{
		Fingerprint: s.Fingerprint[:], Crash: c.Server.Service + "/" + c.Server.Name + "/" + c.Incarnation,
		AgeMs: uint64(max(0, time.Since(c.At).Milliseconds())),
	}
}

func (q *Quarantine) encodeTrial(s quarantine.Server, t trial, ended bool) *peerpb.StrikeRequest {
	return &peerpb.StrikeRequest{Sender: q.sender(), Trial: &peerpb.Trial{
		Service: s.Service, Server: s.Name, Number: t.number, Ended: ended, TermMs: uint64(max(0, time.Until(t.expiresAt).Milliseconds())),
	}}
}

func (q *Quarantine) sender() *peerpb.Sender {
	self := q.options.Self
	return &peerpb.Sender{
		Instance: self.Name, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone, Protocol: peer.ProtocolVersion,
	}
}
