package charts

import (
	"slices"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

func steps(t *testing.T, name string) []chart.Step {
	t.Helper()
	ch, err := Load(name, nil)
	if err != nil {
		t.Fatal(err)
	}
	var list []chart.Step
	ch.Walk(func(s chart.Step) { list = append(list, s) })
	return list
}

// walkedRequest is one request on a path through the chart.
type walkedRequest struct {
	state            string
	idempotent, once bool
	claimed          bool
	mayRun           bool // a copy was lost
	markedMayHaveRun bool // the chart has run mark_may_have_run
	settled          string
}

// guardOutcomes reports whether a guard can be true, and whether it can be false, at this point of the path.
func (p walkedRequest) guardOutcomes(guard string) (canBeTrue, canBeFalse bool) {
	switch guard {
	case "":
		return true, false
	case "once_only":
		return p.once, !p.once
	case "may_have_run":
		return p.markedMayHaveRun, !p.markedMayHaveRun
	case "quarantined_after_loss":
		return p.markedMayHaveRun, true
	case "quarantined_without_loss":
		return !p.markedMayHaveRun, true
	case "idempotent_resend_allowed":
		return p.idempotent && !p.once, true
	}
	return true, true
}

// applyStep returns the request after one step and fails the test if the step is not allowed.
func (p walkedRequest) applyStep(t *testing.T, s chart.Step) walkedRequest {
	if slices.Contains(s.Actions, "send") {
		if p.mayRun && !p.idempotent {
			t.Errorf("%s -%s-> %s resends a request that may have run: %+v", s.From, s.Event, s.To, p)
		}
		if p.once && !p.claimed {
			t.Errorf("%s -%s-> %s sends a once-only request without a claim", s.From, s.Event, s.To)
		}
	}
	p.mayRun = p.mayRun || s.Event == "lost"
	p.claimed = p.claimed || s.Event == "claimed"
	p.markedMayHaveRun = p.markedMayHaveRun || slices.Contains(s.Actions, "mark_may_have_run")
	for _, a := range s.Actions {
		if strings.HasPrefix(a, "settle_") {
			p.settled = a
		}
	}
	if s.To == "refused" && p.mayRun {
		t.Errorf("%s -%s-> refused reports a request as not run although it may have run", s.From, s.Event)
	}
	if p.mayRun && p.settled == "settle_refused" {
		t.Errorf("%s -%s-> %s releases the claim of a request that may have run", s.From, s.Event, s.To)
	}
	p.state = s.To
	return p
}

// Guards against a path that resends a request which may have run and is not idempotent, that reports a request as not
// run although it may have run, or that ends without settling its claim.
func TestRequestNeverRunsTwice(t *testing.T) {
	list := steps(t, "request")
	ch, _ := Load("request", nil)
	seen := map[walkedRequest]bool{}
	var queue []walkedRequest
	for _, idempotent := range []bool{true, false} {
		for _, once := range []bool{true, false} {
			queue = append(queue, walkedRequest{state: "admitted", idempotent: idempotent, once: once})
		}
	}
	for len(queue) > 0 {
		p := queue[0]
		queue = queue[1:]
		if seen[p] {
			continue
		}
		seen[p] = true
		if ch.Final(p.state) && p.claimed && p.settled == "" {
			t.Errorf("a request ends in %s without settling its claim", p.state)
		}
		decided := map[string]bool{} // events for which an earlier transition always applies
		for _, s := range list {
			if s.From != p.state || decided[s.Event] {
				continue
			}
			canBeTrue, canBeFalse := p.guardOutcomes(s.Guard)
			if canBeTrue {
				queue = append(queue, p.applyStep(t, s))
			}
			decided[s.Event] = !canBeFalse
		}
	}
	if len(seen) < 30 {
		t.Errorf("the walk reached only %d combinations, want at least 30", len(seen))
	}
}

// Guards against a claim that is granted before it is committed, or to two attempts.
func TestClaimIsGrantedOnce(t *testing.T) {
	for _, s := range steps(t, "claim") {
		step := s.From + " -" + s.Event + "[" + s.Guard + "]-> " + s.To
		if slices.Contains(s.Actions, "reply_granted") && (s.From != "committing" || s.Event != "committed") {
			t.Errorf("%s grants a claim before it is committed", step)
		}
		if slices.Contains(s.Actions, "record_claim") && s.From != "free" && s.From != "released" {
			t.Errorf("%s records a second claim", step)
		}
		claimHeld := s.From == "claimed" || s.From == "answered" || s.From == "unknown"
		if !claimHeld || s.To == s.From || s.To == "gone" && s.Event == "expire" {
			continue
		}
		if s.From != "claimed" || s.Guard != "same_attempt" {
			t.Errorf("%s drops a claim that its holder did not settle", step)
		}
	}
}

// Guards against two writes in flight, and against claims that are granted before their write is known to have taken
// effect.
func TestPartitionWritesOneAtATime(t *testing.T) {
	writeActions := map[string]string{"taking": "write_head", "sealing": "write_segment", "writing": "write_head"}
	for _, s := range steps(t, "partition") {
		step := s.From + " -" + s.Event + "[" + s.Guard + "]-> " + s.To
		for _, a := range s.Actions {
			if strings.HasPrefix(a, "write_") && writeActions[s.To] != a {
				t.Errorf("%s starts a write and enters a state that does not wait for it", step)
			}
		}
		if writeActions[s.From] != "" && s.Event != "written" && s.Event != "store_failed" {
			t.Errorf("%s handles an event while a write is in flight", step)
		}
		known := s.Event == "written" && writeActions[s.From] == "write_head" || s.Event == "head_found" && s.Guard == "head_is_own_write"
		if slices.Contains(s.Actions, "complete_commit") && !known {
			t.Errorf("%s grants claims although the write is not known to have taken effect", step)
		}
	}
}

// Guards against a quarantine after a single crash, and against a mark that is not cleared by an answer.
func TestQuarantineNeedsTwoCrashes(t *testing.T) {
	cleared := map[string]bool{}
	for _, s := range steps(t, "quarantine") {
		condemned := s.From == "barred" || s.From == "on_trial"
		if s.To == "barred" && !condemned && s.Guard != "different_crash" {
			t.Errorf("%s -%s-> barred without another crash", s.From, s.Event)
		}
		if s.To == "on_trial" && !condemned {
			t.Errorf("%s -%s-> on_trial, which only a condemned request can be", s.From, s.Event)
		}
		if s.Event == "request_answered" && s.To == "forgotten" {
			cleared[s.From] = true
		}
	}
	for _, state := range []string{"watched", "suspected", "struck", "accused", "barred", "on_trial"} {
		if !cleared[state] {
			t.Errorf("an answer does not clear state %s", state)
		}
	}
}
