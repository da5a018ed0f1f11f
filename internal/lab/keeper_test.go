package lab

import (
	"slices"
	"testing"
)

// Guards against a keeper that declares a cold server warm and grants more than its cold allowance. This comes about when
// every server has a queue, because the answers of warm servers are then slow as well.
func TestOverloadKeepsColdServerWithinAllowance(t *testing.T) {
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
