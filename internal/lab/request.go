package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// request is one request of a caller.
type request struct {
	at         time.Time
	deadline   time.Time
	tenant     string
	priority   document.Priority
	service    time.Duration
	idempotent bool

	entry    *entry
	ticket   admit.Ticket
	want     balance.Requirements
	resends  int
	finished bool
	open     []*copied
}

// copied is one copy of a request at a server.
type copied struct {
	r         *request
	grant     balance.Grant
	sent      time.Time
	cancelled bool
}

const (
	// requestDeadline is what callers allow.
	requestDeadline = time.Second
	// onceShare is the part of requests that must not run twice. They stay in their region.
	onceShare = 0.2
	// tenants take part with the shares 50, 25 and 25 %.
	tenants = 4
	// spread is the sigma of the logarithm of service times.
	spread = 0.6
)
