package lab

import (
	"slices"
	"testing"
)

// Guards against a keeper that takes a cold server for a warm one because answers of warm servers are slow as well while
// every server has a queue: the cold server then gets more requests than it bears.
func TestColdServerAboveTheSlots(t *testing.T) {
	const load, seed = 1.1, 1
	policies := Candidates()
	policy := policies[slices.IndexFunc(policies, func(p Policy) bool { return p.Name == "default" })]
	for _, c := range []struct{ deployment, scenario string }{{"pecos", "cold-restart"}, {"pecos", "object-api-down"}} {
		t.Run(c.scenario, func(t *testing.T) {
			t.Parallel()
			deployments, scenarios := Deployments(), Scenarios()
			d := deployments[slices.IndexFunc(deployments, func(d Deployment) bool { return d.Name == c.deployment })]
			s := scenarios[slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == c.scenario })]
			result, err := Run(d, s, policy, load, seed)
			if err != nil {
				t.Fatal(err)
			}
			if result.OverGrant > 0 {
				t.Errorf("a cold server got %d requests above its allowance", result.OverGrant)
			}
		})
	}
}
