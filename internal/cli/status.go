package cli

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/ops"
)

func (t *tool) status() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show instances, documents in force, and the states of backend servers as the instances report them",
		Description: "Exit code 3 means that no instance answered. The table also lists instances that do not answer; they may have\n" +
			"stopped, because the platform's list lags behind.",
		Flags:  []cli.Flag{platformFlag(), instanceFlag(), t.jsonFlag(), &cli.StringFlag{Name: "service", Usage: "show only this service, with each of its servers"}},
		Action: t.runStatus,
	}
}

func (t *tool) runStatus(ctx context.Context, c *cli.Command) error {
	all, err := queryInstances(ctx, c)
	if err != nil {
		return err
	}
	if t.json {
		return t.writeJSON(all)
	}
	var states []*ops.State
	for _, s := range all {
		if s.State != nil {
			states = append(states, s.State)
		}
	}
	if err := t.writeInstances(all); err != nil {
		return err
	}
	t.writeRejected(states)
	t.printf("\n")
	if err := t.writeDocuments(states); err != nil {
		return err
	}
	t.printf("\n")
	return t.writeServers(states, c.String("service"))
}

func (t *tool) writeInstances(all []instanceReport) error {
	table := t.table("INSTANCE", "ZONE", "STATE", "READY", "MEMBERS", "ADDRESS")
	for _, s := range all {
		if s.State == nil {
			row(table, "?", "", "no answer", "", "", s.Address)
			continue
		}
		ready := "yes"
		if !s.State.Ready {
			ready = "no: " + s.State.Reason
		}
		row(table, s.State.Instance, s.State.Zone, s.State.State, ready, len(s.State.Members), s.Address)
	}
	return table.Flush()
}

func (t *tool) writeRejected(states []*ops.State) {
	for _, s := range states {
		for _, r := range s.Rejected {
			t.printf("%s rejects %s/%s version %d (version %d stays in force): %s\n", s.Instance, r.Kind, r.Name, r.Version, r.InForce, r.Message)
		}
	}
}

// writeDocuments lists the documents and, for each version in force, the number of instances that use it.
func (t *tool) writeDocuments(states []*ops.State) error {
	counts := map[string]map[uint64]int{}
	for _, s := range states {
		for _, d := range s.Documents {
			name := d.Kind + "/" + d.Name
			if counts[name] == nil {
				counts[name] = map[uint64]int{}
			}
			counts[name][d.Version]++
		}
	}
	table := t.table("DOCUMENT", "VERSION IN FORCE")
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		var parts []string
		for _, version := range slices.Sorted(maps.Keys(counts[name])) {
			parts = append(parts, number(version)+" on "+strconv.Itoa(counts[name][version]))
		}
		row(table, name, strings.Join(parts, ", "))
	}
	return table.Flush()
}

// serverSummary combines the reports of all instances on one backend server.
type serverSummary struct {
	service, name, zone string
	inFlight, allowance int
	states              map[string]int
	reasons             map[string]bool
}

// writeServers lists the backend servers of one service, or a summary of all services if none is named.
func (t *tool) writeServers(states []*ops.State, service string) error {
	servers := summarizeServers(states)
	if service == "" {
		return t.writeServices(servers)
	}
	table := t.table("SERVER", "ZONE", "STATES", "IN FLIGHT", "ALLOWANCE", "REASON")
	for _, s := range servers {
		if s.service == service {
			row(table, s.name, s.zone, formatCounts(s.states), s.inFlight, s.allowance, strings.Join(slices.Sorted(maps.Keys(s.reasons)), "; "))
		}
	}
	return table.Flush()
}

func (t *tool) writeServices(servers []*serverSummary) error {
	states, inFlight, order := map[string]map[string]int{}, map[string]int{}, []string{}
	for _, s := range servers {
		if states[s.service] == nil {
			states[s.service] = map[string]int{}
			order = append(order, s.service)
		}
		for state, n := range s.states {
			states[s.service][state] += n
		}
		inFlight[s.service] += s.inFlight
	}
	table := t.table("SERVICE", "SERVERS BY STATE (COUNTED ONCE PER INSTANCE)", "IN FLIGHT")
	for _, name := range order {
		row(table, name, formatCounts(states[name]), inFlight[name])
	}
	return table.Flush()
}

// summarizeServers adds up the reports of the instances on each backend server.
func summarizeServers(states []*ops.State) []*serverSummary {
	found := map[string]*serverSummary{}
	for _, state := range states {
		for _, service := range state.Services {
			for _, s := range service.Servers {
				key := service.Service + "\x00" + s.Name
				if found[key] == nil {
					found[key] = &serverSummary{service: service.Service, name: s.Name, zone: s.Zone, states: map[string]int{}, reasons: map[string]bool{}}
				}
				found[key].inFlight += s.InFlight
				found[key].allowance += s.Allowance
				found[key].states[s.State]++
				found[key].reasons[s.Reason] = true
			}
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b *serverSummary) int {
		return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.name, b.name))
	})
}

// formatCounts formats counts by state in order of the states, such as "cold 1, serving 14".
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, name+" "+strconv.Itoa(counts[name]))
	}
	return strings.Join(parts, ", ")
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }
