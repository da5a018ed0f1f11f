package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// request is one request of a caller.
type request struct {
	arrivedAt   time.Time
	deadline    time.Time
	tenant      string
	priority    document.Priority
	serviceTime time.Duration
	idempotent  bool

	instance *instance
	ticket   admit.Ticket
	want     balance.Requirements
	resends  int
	finished bool
	copies   []*requestCopy
}

// requestCopy is one copy of a request at a server.
type requestCopy struct {
	request   *request
	grant     balance.Grant
	sentAt    time.Time
	cancelled bool
}

const (
	// requestDeadline is the time after which callers give up.
	requestDeadline = time.Second
	// onceOnlyShare is the share of requests that must not run twice. They stay in their region.
	onceOnlyShare = 0.2
	// tenantParts is the number of equal parts of the load. Two of them go to the first of three tenants, whose shares are
	// 50, 25 and 25 %.
	tenantParts = 4
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.6
)
