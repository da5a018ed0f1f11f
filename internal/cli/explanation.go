package cli

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
)

// explanation describes how a request is handled.
type explanation struct {
	// Route is the name of the matching route; empty if the request is refused.
	Route string `json:"route"`
	// Refused is the error kind of the refusal; empty if the request is served.
	Refused   string   `json:"refused"`
	Sentences []string `json:"sentences"`
	// Now holds the status of the backend servers at each instance; empty when working offline.
	Now []serverView `json:"now"`
}

func (e *explanation) add(format string, args ...any) {
	e.Sentences = append(e.Sentences, fmt.Sprintf(format, args...))
}

// explainRequest makes the routing decision with the same code as an instance, and describes the result.
func explainRequest(q query) explanation {
	e := explanation{Sentences: []string{}, Now: []serverView{}}
	e.add("Request: %s %s for service %q%s%s.", q.method, q.path, q.service.Name, tenantPhrase(q), locationPhrase(q))
	matched, ok := route.Match(q.service, q.method, q.path)
	policy, err := route.Decide(q.now, q.service, sampleRequest(q, matched), q.region())
	if err != nil && (!ok || q.region() != "") {
		e.addRefusal(err)
		return e
	}
	e.Route = matched.Name
	e.add("Route: %q, for %s %s.", matched.Name, methodList(matched), matched.Path)
	e.addRetrySafety(matched)
	e.add("Priority: %s; %s.", priorityNames[matched.Priority], priorityEffects[matched.Priority])
	e.addHomeRegions(q, homeRegionsOf(q, matched))
	e.add("Deadline: %s, or the caller's Fuchsiahub-Timeout-Ms when that is less; a request that cannot finish in time is refused early, as not run.", formatDuration(matched.Deadline))
	e.addRetries(q.service, matched, policy)
	e.addHedging(q.service, matched)
	e.add("Queue: at each instance at most %d requests of the service wait, and at most %d of one tenant; more are refused as not run (503).",
		q.service.Queue.Length, q.service.Queue.PerTenant)
	e.add("Body: at most %d bytes; a larger one is refused as not run (413).", q.service.MaxBody)
	e.addServers(q, matched, homeRegionsOf(q, matched))
	e.add("Cold start: a backend server that has just started gets at most %s at a time from all instances together; its allowance doubles every %s while it answers in time.",
		quantity(q.service.Servers.ColdAllowance, "request"), formatDuration(q.service.Servers.WarmUpStep))
	return e
}

// sampleRequest builds the request to explain. It sets an idempotency key, so that the rule for missing keys is described
// instead of applied.
func sampleRequest(q query, matched *document.Route) *call.Request {
	req := &call.Request{Service: q.service.Name, Tenant: q.tenant, Method: q.method, Path: q.path, RetriesLeft: q.service.Retry.Attempts}
	if matched != nil {
		req.Header = []call.Field{{Name: matched.KeyHeader, Value: "key"}}
	}
	return req
}

func (e *explanation) addRefusal(err error) {
	f := fault.As(err)
	e.Refused = string(f.Kind)
	e.add("Refused as not run (%d %s): %s.", frontend.Status(f), f.Kind, f.Message)
	e.add("Remedy: %s.", f.Remedy)
}

func tenantPhrase(q query) string {
	if q.tenant == "" {
		return ""
	}
	return fmt.Sprintf(" of tenant %q", q.tenant)
}

func locationPhrase(q query) string {
	switch {
	case q.zone == "":
		return ""
	case q.region() == "":
		return fmt.Sprintf(", at an instance in zone %q", q.zone)
	}
	return fmt.Sprintf(", at an instance in zone %q of region %q", q.zone, q.region())
}

func methodList(r *document.Route) string {
	if len(r.Methods) == 0 {
		return "every method on"
	}
	return strings.Join(r.Methods, ", ")
}

func (e *explanation) addRetrySafety(r *document.Route) {
	if r.Idempotent {
		e.add("Idempotent: yes; the request may be sent again even when it may have run.")
	} else {
		e.add("Idempotent: no; the request is sent again only when it is certain that no backend server ran it.")
	}
	if !r.OnceOnly {
		e.add("Once-only: no; when the caller sends the request again, it may run again.")
		return
	}
	missing := "is refused as not run (400)"
	if r.OnMissingKey == document.MissingKeyRun {
		missing = "runs without this protection"
	}
	e.add("Once-only: yes; requests with the same tenant and key run at most once within %s. While the object API is down they are refused as not run (503).", formatDuration(r.OnceWindow))
	e.add("Key: the caller's header %s; a request without it %s.", r.KeyHeader, missing)
}

var priorityNames = map[document.Priority]string{document.Low: "low", document.Normal: "normal", document.High: "high"}

var priorityEffects = map[document.Priority]string{
	document.Low:    "it waits behind requests of normal and high priority",
	document.Normal: "it waits behind requests of high priority and before those of low priority",
	document.High:   "it goes before waiting requests of lower priority",
}

// homeRegionsOf returns the home regions of a request: those of the route, limited to those of the tenant. Nil means all
// regions.
func homeRegionsOf(q query, r *document.Route) []string {
	homes := r.HomeRegions
	tenant, ok := q.service.Tenant(q.tenant)
	switch {
	case !ok || len(tenant.HomeRegions) == 0:
		return homes
	case len(homes) == 0:
		return tenant.HomeRegions
	}
	return slices.DeleteFunc(slices.Clone(homes), func(name string) bool { return !slices.Contains(tenant.HomeRegions, name) })
}

func (e *explanation) addHomeRegions(q query, homes []string) {
	if homes == nil {
		e.add("Home regions: none; the request may be served, sent and stored in any region.")
		return
	}
	e.add("Home regions: %s; elsewhere the request is refused as not run (421), and no part of it is sent or stored there.", strings.Join(homes, ", "))
	if q.region() == "" {
		e.add("It is unknown whether the instance is in a home region: give --zone, and with --document also --fleet.")
	}
}

func (e *explanation) addRetries(doc *document.Service, r *document.Route, p route.Policy) {
	if p.Resends == 0 {
		e.add("Retries: none.")
		return
	}
	if !r.Idempotent {
		e.add("Retries: at most %d, each only after the server reported that it did not run the request, or if no byte was sent.", p.Resends)
		return
	}
	e.add("Retries: at most %d, while retries are at most %s of the requests of the service.", p.Resends, formatPercent(doc.Retry.Budget))
}

func (e *explanation) addHedging(doc *document.Service, r *document.Route) {
	if !r.Hedge || doc.Hedge.Budget == 0 {
		e.add("Hedges: none.")
		return
	}
	e.add("Hedges: a second copy of the request is sent when no answer arrives within the time that %s of the answers take, for at most %s of the requests.",
		formatPercent(doc.Hedge.Percentile), formatPercent(doc.Hedge.Budget))
}

// formatDuration formats a duration without trailing zero units, such as "1h30m".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func formatPercent(share float64) string { return strconv.FormatFloat(share*100, 'g', 4, 64) + "%" }

func quantity(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return strconv.Itoa(n) + " " + word + "s"
}

// addServers describes the backend servers that may get the request, in order of preference.
func (e *explanation) addServers(q query, r *document.Route, homes []string) {
	if q.service.Servers.FoundIn == document.FoundInPlatform {
		e.add("Servers: those that the platform lists, with %s each.", quantity(q.service.Servers.Slots, "slot"))
		return
	}
	if q.fleet == nil || q.zone == "" {
		e.add("Servers: %s.", capacityOf(q.service, func(document.Server) bool { return true }))
		return
	}
	inService := func(s document.Server) bool { return !q.fleet.IsZoneOut(s.Zone) }
	region := func(s document.Server) string { return q.fleet.RegionOf(s.Zone) }
	e.add("Servers: first %s in zone %q, then %s in the other zones of region %q.",
		capacityOf(q.service, func(s document.Server) bool { return inService(s) && s.Zone == q.zone }), q.zone,
		capacityOf(q.service, func(s document.Server) bool { return inService(s) && s.Zone != q.zone && region(s) == q.region() }), q.region())
	if !r.CrossRegion {
		e.add("Other regions: not used, because the route does not set cross_region.")
	} else {
		e.add("Other regions: %s, used when the region of the instance has no free capacity.", capacityOf(q.service, func(s document.Server) bool {
			return inService(s) && region(s) != q.region() && (homes == nil || slices.Contains(homes, region(s)))
		}))
	}
	if q.fleet.IsZoneOut(q.zone) {
		e.add("Zone %q is out of service: its instances report that they are not ready, but still complete the requests that reach them.", q.zone)
	}
	if len(q.fleet.ZonesOut) > 0 {
		e.add("Zones that are out of service and get no new requests: %s.", strings.Join(q.fleet.ZonesOut, ", "))
	}
}

// capacityOf counts the servers that the filter accepts, and their slots.
func capacityOf(doc *document.Service, include func(document.Server) bool) string {
	servers, slots := 0, 0
	for _, s := range doc.Servers.List {
		if include(s) {
			servers++
			slots += doc.SlotsOf(s)
		}
	}
	return quantity(servers, "server") + " with " + quantity(slots, "slot")
}
