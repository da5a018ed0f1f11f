package node

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// acquireServer requests a server and waits until one is granted, the request is refused or the context ends.
func (s *Service) acquireServer(ctx context.Context, m acquireRequest) acquireResult {
	reply := make(chan acquireResult, 1)
	ticket := make(chan admit.Ticket, 1)
	m.reply, m.ticket = reply, ticket
	if err := s.inbox.Offer(m); err != nil {
		return acquireResult{err: fault.As(err).MarkNotRun(retryAfter)}
	}
	select {
	case a := <-reply:
		return a
	case <-s.ended:
		return acquireResult{err: stoppingError(s.name)}
	case <-ctx.Done():
	}
	return s.withdrawWaiting(reply, ticket)
}

// withdrawWaiting withdraws a waiting request. The task replies to every acquireRequest, so the final receive cannot
// block forever.
func (s *Service) withdrawWaiting(reply <-chan acquireResult, ticket <-chan admit.Ticket) acquireResult {
	select {
	case t := <-ticket:
		s.inbox.SendUntil(s.ended, withdrawRequest{ticket: t})
	case <-s.ended:
		return acquireResult{err: stoppingError(s.name)}
	}
	select {
	case a := <-reply:
		return a
	case <-s.ended:
		return acquireResult{err: stoppingError(s.name)}
	}
}

func stoppingError(service string) error {
	return fault.New(fault.Stopping, "send the request to another instance", "service %q is no longer served here", service).MarkNotRun(0)
}

// releaseGrant releases a grant and reports how its request ended. It blocks while the mailbox is full, because a lost release would leak a slot.
func (s *Service) releaseGrant(g balance.Grant, r balance.Result) {
	s.inbox.SendUntil(s.ended, releaseRequest{grant: g, result: r})
}
