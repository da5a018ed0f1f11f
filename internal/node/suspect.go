package node

import (
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// The part of a request that deals with the quarantine.

func (e *exchange) server() quarantine.Server {
	return quarantine.Server{Service: e.req.Service, Name: e.taken.grant.Server}
}

func (e *exchange) fingerprint() quarantine.Fingerprint {
	if e.print == nil {
		f := e.quarantine.fingerprint(e.req)
		e.print = &f
	}
	return *e.print
}

// treatment returns what the request gets now. It costs nothing while no fingerprint is marked.
func (e *exchange) treatment() quarantine.Treatment {
	if !e.quarantine.active() {
		return quarantine.Free
	}
	t, _ := e.quarantine.treatment(e.fingerprint())
	return t
}

// takeTrial is the entry action of "isolating".
func (e *exchange) takeTrial() {
	end, granted := e.quarantine.try(e.ctx, e.server(), e.taken.grant.Zone)
	e.endOfTrial = end
	if granted {
		e.next = "trial_granted"
		return
	}
	// A grant may be on its way although this instance gave up waiting for it.
	e.endTrial()
	e.next = "trial_refused"
}

// endTrial is the exit action of "sent".
func (e *exchange) endTrial() {
	if e.endOfTrial != nil {
		e.endOfTrial()
		e.endOfTrial = nil
	}
}

// reportLoss is the entry action of "examining".
func (e *exchange) reportLoss() {
	e.next = "examined"
	if e.quarantine == nil {
		return
	}
	for _, c := range e.losses {
		e.quarantine.lostConnection(e.ctx, quarantine.Loss{
			Server: c.server, Incarnation: c.incarnation, Fingerprint: e.fingerprint(), Regions: e.policy.Regions,
		}, c.taken.grant.Address)
	}
}

// clearMark tells that the request was answered, if its fingerprint is marked.
func (e *exchange) clearMark() {
	if !e.quarantine.active() {
		return
	}
	if _, marked := e.quarantine.treatment(e.fingerprint()); marked {
		e.quarantine.clear(e.fingerprint(), e.policy.Regions)
	}
}

func (e *exchange) refuseQuarantined() {
	e.err = fault.New(fault.Quarantined, "correct the request, or wait 10 minutes and send it once",
		"backend servers crashed while a request like this ran").Refused(0)
}

func (e *exchange) refuseCrowded() {
	e.err = fault.New(fault.Overloaded, "send the request again later",
		"a backend server crashed while a request like this ran; it is run again only alone and no server is free for that").Refused(retryAfter)
}
