package charts

import (
	"slices"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// forwarded is what is true of one request of a caller in the walk through charts/forward.toml.
type forwarded struct {
	state      string
	idempotent bool
	// copies on their way, and whether one that has ended may have run.
	copies int
	mayRun bool
	answer bool
	depth  int
}

// mostWalked bounds the length of a path: two copies, their ends and the final events.
const mostWalked = 8

// Guards against a request that is not idempotent and is sent while or after a copy that may have run, a refusal as not
// run of a request that may have run, and a request that ends without an answer of its own kind.
func TestForwardKeepsItsPromises(t *testing.T) {
	all := steps(t, "forward")
	reported := map[string]bool{}
	report := func(s chart.Step, what string) {
		if line := s.From + " -" + s.Event + "[" + s.Guard + "]-> " + s.To + " " + what; !reported[line] {
			reported[line] = true
			t.Error(line)
		}
	}
	var walk func(p forwarded)
	walk = func(p forwarded) {
		if p.depth == mostWalked {
			return
		}
		done := map[string]bool{} // events for which a row surely applies
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
					report(s, "sends a request again that may have run")
				}
				next.copies++
			}
			if slices.Contains(s.Actions, "deliver_refusal") && (next.mayRun || next.copies > 0) {
				report(s, "says not run of a request that may have run")
			}
			if slices.Contains(s.Actions, "deliver_answer") && !next.answer {
				report(s, "delivers an answer that there is not")
			}
			walk(next)
		}
	}
	for _, idempotent := range []bool{false, true} {
		walk(forwarded{state: "received", idempotent: idempotent})
	}
}

// after returns what is true after an event, before its transition, and whether the event can happen.
func (p forwarded) after(event string) (next forwarded, possible bool) {
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

// holds says whether a guard can be true and can be false.
func (p forwarded) holds(t *testing.T, guard string) (canBeTrue, canBeFalse bool) {
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
