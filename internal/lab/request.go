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
	want     balance.Want
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
	// requestDeadline is the time after which callers give up.
	requestDeadline = time.Second
	// onceShare is the share of requests that must not run twice. They stay in their region.
	onceShare = 0.2
	// tenants is the number of equal parts of the load. Two of them go to the first of three tenants, whose shares are
	// 50, 25 and 25 %.
	tenants = 4
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.6
)
