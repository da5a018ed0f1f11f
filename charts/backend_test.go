package charts

import (
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// acceptsRequests holds the states in which a server can get new requests.
var acceptsRequests = map[string]bool{"unknown": true, "cold": true, "warming": true, "serving": true, "shedding": true}

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

// Guards against new requests to a draining server: apart from "gone", only a restart may lead out of "draining", and only
// to "cold".
func TestDrainingServerGetsRequestsOnlyAfterRestart(t *testing.T) {
	for _, s := range backendSteps(t) {
		if s.From != "draining" || s.To == s.From {
			continue
		}
		switch {
		case s.To == "gone":
		case s.Event == "restart" && s.To == "cold":
		default:
			t.Errorf("event %q leads from draining to %q", s.Event, s.To)
		}
	}
}

// Guards against full load on a cold server: every path from "cold", "unknown" or "ejected" to a state with the full
// allowance passes through "warming" or is caused by a warm grant of the keeper.
func TestColdServerServesOnlyAfterWarmUpOrWarmGrant(t *testing.T) {
	full := map[string]bool{"serving": true, "shedding": true}
	for _, s := range backendSteps(t) {
		cold := s.From == "cold" || s.From == "unknown" || s.From == "ejected"
		if cold && full[s.To] && s.Event != "warmed" {
			t.Errorf("%s changes to %s without warming up, on event %q", s.From, s.To, s.Event)
		}
		if s.From == "warming" && full[s.To] && s.Event != "warmed" && s.Guard != "ramp_complete" {
			t.Errorf("event %q ends warming before the ramp is complete", s.Event)
		}
	}
}

// Guards against a restart that is ignored in a state in which the server gets requests.
func TestEveryRestartEventLeadsToCold(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range backendSteps(t) {
		if s.Event != "restart" && s.Event != "presume_cold" || !acceptsRequests[s.From] {
			continue
		}
		seen[s.From+" "+s.Event] = true
		if s.To != "cold" {
			t.Errorf("state %s: event %q leads to %s, not to cold", s.From, s.Event, s.To)
		}
	}
	for state := range acceptsRequests {
		for _, event := range []string{"restart", "presume_cold"} {
			if !seen[state+" "+event] {
				t.Errorf("%s does not handle %q", state, event)
			}
		}
	}
}

// Guards against a warm-up ramp that continues from the previous one.
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
			t.Errorf("state %s: event %q leads to %s without clear_ramp", s.From, s.Event, s.To)
		}
	}
}
