package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/lab"
)

// Bench returns the command that compares balancing policies in virtual time.
func Bench() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare balancing policies side by side in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random arrivals, service times and server choices"},
			&cli.StringSliceFlag{Name: "deployment", Usage: "deployment to simulate: pecos or pretha; default both"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "scenario to run, such as slow-server; default all"},
			&cli.StringSliceFlag{Name: "policy", Usage: "policy to compare, such as round-robin or default; default all"},
			&cli.FloatSliceFlag{Name: "load", Usage: "offered load as a fraction of all slots, such as 0.7; default 0.5, 0.7, 0.85 and 1.1"},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "simulations that run in parallel"},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	plan := lab.Plan{
		Deployments: c.StringSlice("deployment"), Scenarios: c.StringSlice("scenario"), Policies: c.StringSlice("policy"),
		Loads: c.FloatSlice("load"), Seed: c.Uint64("seed"), Parallel: c.Int("parallel"),
	}
	if len(plan.Loads) == 0 {
		plan.Loads = lab.Loads()
	}
	return lab.Table(ctx, c.Root().Writer, plan)
}
