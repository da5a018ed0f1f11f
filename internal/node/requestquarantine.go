package node

import (
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Actions and guards of a request that concern the quarantine.

func (e *exchange) server() quarantine.Server {
	return quarantine.Server{Service: e.req.Service, Name: e.assignment.grant.Server}
}

func (e *exchange) fingerprint() quarantine.Fingerprint {
	if e.cachedFingerprint == nil {
		f := e.quarantine.fingerprint(e.req)
		e.cachedFingerprint = &f
	}
	return *e.cachedFingerprint
}

// treatment returns how the quarantine treats the request now. It computes no fingerprint while none is marked.
func (e *exchange) treatment() quarantine.Treatment {
	if !e.quarantine.anyMarked() {
		return quarantine.RunNormally
	}
	t, _ := e.quarantine.treatment(e.fingerprint())
	return t
}

// requiresIsolation reports whether the request may run only alone on a server.
func (e *exchange) requiresIsolation() bool {
	t := e.treatment()
	return t == quarantine.RunAlone || t == quarantine.RunTrial
}

// requestTrial is the entry action of "isolating".
func (e *exchange) requestTrial() {
	if e.treatment() == quarantine.RunTrial {
		end, granted := e.quarantine.startCondemnedTrial(e.ctx, e.fingerprint())
		e.releaseTrial = end
		if !granted {
			e.endTrial()
			e.nextEvent = "trial_refused"
			return
		}
	}
	endCondemned := e.releaseTrial
	end, granted := e.quarantine.requestTrial(e.ctx, e.server(), e.assignment.grant.Zone)
	e.releaseTrial = func() {
		end()
		if endCondemned != nil {
			endCondemned()
		}
	}
	if granted {
		e.nextEvent = "trial_granted"
		return
	}
	// The permission may still arrive after this instance stopped waiting for it, so the trial is ended in any case.
	e.endTrial()
	e.nextEvent = "trial_refused"
}

// endTrial is the exit action of "sent".
func (e *exchange) endTrial() {
	if e.releaseTrial != nil {
		e.releaseTrial()
		e.releaseTrial = nil
	}
}

// reportBrokenConnections is the entry action of "examining".
func (e *exchange) reportBrokenConnections() {
	e.nextEvent = "examination_end"
	if e.quarantine == nil {
		return
	}
	for _, c := range e.brokenCopies {
		e.quarantine.reportConnectionLoss(e.ctx, quarantine.BrokenConnection{
			Server: c.server, Incarnation: c.incarnation, Fingerprint: e.fingerprint(), Regions: e.policy.Regions,
		}, c.assignment.grant.Address)
	}
}

// clearMark clears the mark of the request's fingerprint after an answer, if there is one.
func (e *exchange) clearMark() {
	if !e.quarantine.anyMarked() {
		return
	}
	if _, marked := e.quarantine.treatment(e.fingerprint()); marked {
		e.quarantine.reportAnswered(e.fingerprint(), e.policy.Regions)
	}
}

func (e *exchange) refuseQuarantined() {
	e.err = fault.New(fault.Quarantined, "correct the request, or wait 10 minutes and send it once",
		"backend servers crashed while a request like this ran").MarkNotRun(0)
}

func (e *exchange) refuseNoTrial() {
	e.err = fault.New(fault.Overloaded, "send the request again later",
		"a backend server crashed while a request like this ran; it is run again only alone and no server is free for that").MarkNotRun(retryAfter)
}
