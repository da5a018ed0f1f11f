package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
)

// Plan selects the runs of a comparison.
type Plan struct {
	Deployments, Scenarios, Policies []string // empty selects all
	Loads                            []float64
	Seed                             uint64
	// Parallel bounds the number of concurrent runs.
	Parallel int
}

// Loads returns the default loads, as shares of the capacity of all slots.
func Loads() []float64 { return []float64{0.5, 0.7, 0.85, 1.1} }

// runSpec is one run of a plan.
type runSpec struct {
	d        Deployment
	scenario Scenario
	policy   Policy
	load     float64
}

// runSpecs returns the runs of the plan in the order of the table.
func (p Plan) runSpecs() []runSpec {
	var specs []runSpec
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			for _, load := range p.Loads {
				for _, policy := range append(Baselines(), Candidates()...) {
					if selects(p.Deployments, d.Name) && selects(p.Scenarios, s.Name) && selects(p.Policies, policy.Name) {
						specs = append(specs, runSpec{d: d, scenario: s, policy: policy, load: load})
					}
				}
			}
		}
	}
	return specs
}

// selects reports whether a list selects a name.
func selects(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// Table executes the runs of a plan and prints one line for each.
func Table(ctx context.Context, out io.Writer, p Plan) error {
	specs := p.runSpecs()
	results := make([]Result, len(specs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, p.Parallel))
	for i, j := range specs {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			var err error
			results[i], err = Run(j.d, j.scenario, j.policy, j.load, p.Seed)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return writeTable(out, p.Seed, results)
}

func writeTable(out io.Writer, seed uint64, results []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "seed %d; times in ms; goodput, worst second, refused, failed, expired and hedged in %%; control per instance\n", seed)
	fmt.Fprintln(t, "deployment\tscenario\tload\tpolicy\tp50\tp99\tp99.9\tgoodput\tworst s\trefused\tfailed\texpired\thedged\tqueue\tover-grant\tlate work\tB/s\tcpu %\tprobes/s\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%.3f\t%.1f\t\n",
			r.Deployment, r.Scenario, 100*r.Load, r.Policy, ms(r.P50), ms(r.P99), ms(r.P999), percent(r.Goodput), percent(r.WorstSecond),
			percent(r.Refused), percent(r.Failed), percent(r.Expired), percent(r.Hedged), r.WorstQueue, r.OverGrant, r.LateWork,
			r.ControlBytes, 100*r.ControlCPU, r.Probes)
	}
	return t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

func percent(share float64) string { return fmt.Sprintf("%.2f", 100*share) }
