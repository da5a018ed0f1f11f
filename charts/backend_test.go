package charts

import (
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// mayWork are the states in which a server can get new work.
var mayWork = map[string]bool{"unknown": true, "cold": true, "warming": true, "serving": true, "shedding": true}

func backendSteps(t *testing.T) []chart.Step {
	t.Helper()
	ch, err := Load("backend", nil)
	if err != nil {
		t.Fatal(err)
	}
	var steps []chart.Step
	ch.Walk(func(s chart.Step) { steps = append(steps, s) })
	return steps
}

// Guards against new work for a server that is leaving: only a new start may lead out of "draining", and only to
// "cold".
func TestDrainingServerGetsWorkOnlyAfterNewStart(t *testing.T) {
	for _, s := range backendSteps(t) {
		if s.From != "draining" || s.To == s.From {
			continue
		}
		switch {
		case s.To == "gone":
		case s.Event == "restart" && s.To == "cold":
		default:
			t.Errorf("draining leaves by %q to %q", s.Event, s.To)
		}
	}
}

// Guards against full load on a cold server: every way from "cold" or "unknown" to a state with more than the cold
// allowance passes through "warming", or is the keeper's word.
func TestColdServerServesOnlyAfterWarmingOrKeepersWord(t *testing.T) {
	full := map[string]bool{"serving": true, "shedding": true}
	for _, s := range backendSteps(t) {
		cold := s.From == "cold" || s.From == "unknown" || s.From == "ejected"
		if cold && full[s.To] && s.Event != "warmed" {
			t.Errorf("%s skips to %s by %q", s.From, s.To, s.Event)
		}
		if s.From == "warming" && full[s.To] && s.Event != "warmed" && s.Guard != "ramp_complete" {
			t.Errorf("warming ends by %q without a complete ramp", s.Event)
		}
	}
}

// Guards against a sign of a new start that is passed over in a state that gives work.
func TestEverySignOfNewStartLeadsToCold(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range backendSteps(t) {
		if s.Event != "restart" && s.Event != "presume_cold" || !mayWork[s.From] {
			continue
		}
		seen[s.From+" "+s.Event] = true
		if s.To != "cold" {
			t.Errorf("%s goes by %q to %s", s.From, s.Event, s.To)
		}
	}
	for state := range mayWork {
		for _, event := range []string{"restart", "presume_cold"} {
			if !seen[state+" "+event] {
				t.Errorf("%s does not handle %q", state, event)
			}
		}
	}
}

// Guards against a ramp that starts where the last one ended.
func TestRampIsClearedBeforeWarming(t *testing.T) {
	for _, s := range backendSteps(t) {
		if s.To != "cold" && s.To != "ejected" || s.From == s.To && len(s.Actions) == 0 {
			continue
		}
		cleared := false
		for _, a := range s.Actions {
			cleared = cleared || a == "clear_ramp"
		}
		if !cleared {
			t.Errorf("%s goes by %q to %s without clear_ramp", s.From, s.Event, s.To)
		}
	}
}
