package cli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/ops"
)

func (t *tool) explain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "describe in plain sentences how a request is handled",
		Description: "With --document, documents are read from files and no connection is made. With --service, documents are read\n" +
			"from the platform, and the instances report the current state of the backend servers.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Usage: "path of the service document"},
			&cli.StringFlag{Name: "fleet", Usage: "path of the fleet document, which lists the zones of each region and the zones that are out of service"},
			&cli.StringFlag{Name: "service", Usage: "name of a service, whose document is read from the platform"},
			&cli.StringFlag{Name: "method", Usage: "HTTP method of the request", Value: "GET"},
			&cli.StringFlag{Name: "path", Usage: "path of the request", Required: true},
			&cli.StringFlag{Name: "tenant", Usage: "customer of the request"},
			&cli.StringFlag{Name: "zone", Usage: "availability zone of the instance that receives the request"},
			platformFlag(), instanceFlag(), t.jsonFlag(),
		},
		Action: t.runExplain,
	}
}

// query holds the request to explain and the documents that apply to it.
type query struct {
	method, path, tenant, zone string
	service                    *document.Service
	// fleet is nil if no fleet document is available.
	fleet *document.Fleet
	now   time.Time
}

func (t *tool) runExplain(ctx context.Context, c *cli.Command) error {
	q := query{method: c.String("method"), path: c.String("path"), tenant: c.String("tenant"), zone: c.String("zone"), now: time.Now()}
	var err error
	var states []instanceReport
	switch {
	case (c.String("document") == "") == (c.String("service") == ""):
		return newUsageError("give either --document FILE, to work offline, or --service NAME", "exactly one of --document and --service is required")
	case c.String("document") != "":
		err = t.readDocuments(&q, c.String("document"), c.String("fleet"))
	default:
		if err = fetchDocuments(ctx, c, &q); err == nil {
			states, err = queryInstances(ctx, c)
		}
	}
	if err != nil {
		return err
	}
	if err := q.checkZone(); err != nil {
		return err
	}
	e := explainRequest(q)
	for _, s := range states {
		if s.State != nil && (q.zone == "" || s.State.Zone == q.zone) {
			e.Now = append(e.Now, serverViews(s.State, q.service.Name)...)
		}
	}
	if t.json {
		return t.writeJSON(e)
	}
	t.writeExplanation(e)
	return nil
}

// readDocuments reads the documents from files.
func (t *tool) readDocuments(q *query, path, fleetPath string) error {
	text, err := t.readFile(path)
	if err != nil {
		return err
	}
	if q.service, err = docfile.ReadService(path, text); err != nil || fleetPath == "" {
		return err
	}
	if text, err = t.readFile(fleetPath); err != nil {
		return err
	}
	q.fleet, err = docfile.ReadFleet(fleetPath, text)
	return err
}

// fetchDocuments reads the documents from the platform.
func fetchDocuments(ctx context.Context, c *cli.Command, q *query) error {
	p, err := openPlatform(c)
	if err != nil {
		return err
	}
	if q.service, err = p.service(ctx, c.String("service")); err != nil {
		return err
	}
	q.fleet, err = p.fleet(ctx)
	return err
}

func (q query) checkZone() error {
	if q.zone != "" && q.fleet != nil && q.fleet.RegionOf(q.zone) == "" {
		return fault.New(fault.NotFound, "give a zone that the fleet document contains", "zone %q is not part of the fleet", q.zone)
	}
	return nil
}

// region returns the region of the zone, or "" if it is unknown.
func (q query) region() string {
	if q.fleet == nil {
		return ""
	}
	return q.fleet.RegionOf(q.zone)
}

func (t *tool) writeExplanation(e explanation) {
	for _, line := range e.Sentences {
		t.printf("%s\n", line)
	}
	if len(e.Now) == 0 {
		return
	}
	t.printf("\nNow:\n")
	for _, s := range e.Now {
		t.printf("  %s reports %s in zone %s: %s, %d of at most %d requests in flight from this instance; %s.\n",
			s.Instance, s.Name, s.Zone, s.ServerStatus.State, s.InFlight, s.Allowance, s.Reason)
	}
}

// serverView is the status of a backend server at one instance.
type serverView struct {
	Instance string `json:"instance"`
	balance.ServerStatus
}

func serverViews(state *ops.State, service string) []serverView {
	var list []serverView
	for _, s := range state.Services {
		if s.Service != service {
			continue
		}
		for _, server := range s.Servers {
			list = append(list, serverView{Instance: state.Instance, ServerStatus: server})
		}
	}
	return list
}
