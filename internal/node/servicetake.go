package node

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// take requests a server and waits until one is granted, the request is refused or the context ends.
func (s *Service) take(ctx context.Context, m acquire) acquired {
	reply := make(chan acquired, 1)
	ticket := make(chan admit.Ticket, 1)
	m.reply, m.ticket = reply, ticket
	if err := s.inbox.Offer(m); err != nil {
		return acquired{err: fault.As(err).Refused(retryAfter)}
	}
	select {
	case a := <-reply:
		return a
	case <-s.ended:
		return acquired{err: stopped(s.name)}
	case <-ctx.Done():
	}
	return s.giveUp(reply, ticket)
}

// giveUp withdraws a waiting request. The task replies to every acquire, so the final receive cannot block forever.
func (s *Service) giveUp(reply <-chan acquired, ticket <-chan admit.Ticket) acquired {
	select {
	case t := <-ticket:
		s.inbox.SendUntil(s.ended, withdraw{ticket: t})
	case <-s.ended:
		return acquired{err: stopped(s.name)}
	}
	select {
	case a := <-reply:
		return a
	case <-s.ended:
		return acquired{err: stopped(s.name)}
	}
}

func stopped(service string) error {
	return fault.New(fault.Stopping, "send the request to another instance", "service %q is no longer served here", service).Refused(0)
}

// giveBack returns a grant. It blocks while the mailbox is full, because a lost release would leak a slot.
func (s *Service) giveBack(g balance.Grant, r balance.Result) {
	s.inbox.SendUntil(s.ended, release{grant: g, result: r})
}
