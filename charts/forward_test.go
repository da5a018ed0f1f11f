package charts

import (
	"slices"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// requestModel is the model state of one request in the walk through charts/forward.toml.
type requestModel struct {
	state      string
	idempotent bool
	// copies is the number of copies in flight; mayRun is true if one that has ended may have run.
	copies int
	mayRun bool
	answer bool
	depth  int
}

// maxPathLength is the maximum length of a path, enough for two copies, their results and the final events.
const maxPathLength = 8

// Guards against sending a request that is not idempotent again during or after a copy that may have run, against a refusal
// as not run of a request that may have run, and against the delivery of an answer that was never received.
func TestForwardInvariants(t *testing.T) {
	all := steps(t, "forward")
	reported := map[string]bool{}
	report := func(s chart.Step, what string) {
		if line := s.From + " -" + s.Event + "[" + s.Guard + "]-> " + s.To + " " + what; !reported[line] {
			reported[line] = true
			t.Error(line)
		}
	}
	var walk func(p requestModel)
	walk = func(p requestModel) {
		if p.depth == maxPathLength {
			return
		}
		done := map[string]bool{} // events for which an earlier row always applies
		for _, s := range all {
			next, possible := p.after(s.Event)
			if s.From != p.state || !possible || done[s.Event] {
				continue
			}
			canBeTrue, canBeFalse := next.holds(t, s.Guard)
			done[s.Event] = !canBeFalse
			if !canBeTrue {
				continue
			}
			next.state, next.depth = s.To, p.depth+1
			if slices.Contains(s.Actions, "send") {
				if !p.idempotent && (next.mayRun || next.copies > 0) {
					report(s, "sends a non-idempotent request again that may have run")
				}
				next.copies++
			}
			if slices.Contains(s.Actions, "deliver_refusal") && (next.mayRun || next.copies > 0) {
				report(s, "refuses as not run a request that may have run")
			}
			if slices.Contains(s.Actions, "deliver_answer") && !next.answer {
				report(s, "delivers an answer that was not received")
			}
			walk(next)
		}
	}
	for _, idempotent := range []bool{false, true} {
		walk(requestModel{state: "received", idempotent: idempotent})
	}
}

// after returns the model state after an event, before its transition, and whether the event is possible.
func (p requestModel) after(event string) (next requestModel, possible bool) {
	next = p
	switch event {
	case "answered", "failed_answer", "not_run", "lost":
		if p.copies == 0 {
			return next, false
		}
		next.copies--
	}
	switch event {
	case "answered":
		next.answer = true
	case "failed_answer":
		next.answer, next.mayRun = true, true
	case "lost":
		next.mayRun = true
	}
	return next, true
}

// holds returns whether a guard can be true and whether it can be false.
func (p requestModel) holds(t *testing.T, guard string) (canBeTrue, canBeFalse bool) {
	t.Helper()
	switch guard {
	case "":
		return true, false
	case "has_answer":
		return p.answer, !p.answer
	case "may_have_run":
		return p.mayRun, !p.mayRun
	case "copies_left":
		return p.copies > 0, p.copies == 0
	case "is_idempotent":
		return p.idempotent, !p.idempotent
	case "may_repeat", "may_hedge":
		return p.idempotent, true
	case "may_place_again":
		return p.idempotent || !p.mayRun, true
	}
	t.Fatalf("guard %q is not known to the walk", guard)
	return false, false
}
