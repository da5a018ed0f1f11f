package route

import (
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// MaxHops is the greatest depth of nested calls that is served.
const MaxHops = 13

// Policy holds the rules that the service document sets for one request.
type Policy struct {
	Route *document.Route
	// Regions lists the only regions that may serve the request; nil means all.
	Regions []string
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// Resends is how many more times the request may be resent.
	Resends int
	// NeedsClaim is true when the request needs a claim before it is sent.
	NeedsClaim bool
	// Key is the caller's idempotency key.
	Key string
}

// Decide returns the policy of a request at an instance in the given region. A refusal is returned as an error that marks
// the request as not run.
func Decide(now time.Time, doc *document.Service, req *call.Request, region string) (Policy, error) {
	if req.Hops > MaxHops {
		return Policy{}, refuse(fault.New(fault.TooManyHops, "look for a cycle among the services that call each other",
			"request is nested more than %d calls deep", MaxHops))
	}
	matched, ok := Match(doc, req.Method, req.Path)
	if !ok {
		return Policy{}, refuse(fault.New(fault.UnknownRoute, "add a [[route]] to the document of the service or correct the path",
			"no route of service %q matches %s %s", doc.Name, req.Method, req.Path))
	}
	p := Policy{
		Route: matched, Deadline: capDeadline(now, req.Deadline, matched.Deadline),
		Resends: min(doc.Retry.Attempts, req.RetriesLeft),
	}
	if err := p.restrictRegions(doc, req, region); err != nil {
		return Policy{}, err
	}
	if !p.Deadline.After(now) {
		return Policy{}, refuse(fault.New(fault.DeadlineExceeded, "allow more time", "the deadline of the request has passed"))
	}
	return p, p.requireKey(req)
}

func refuse(e *fault.Error) error { return e.MarkNotRun(0) }

// capDeadline returns the caller's deadline, capped at the limit of the route.
func capDeadline(now, requested time.Time, limit time.Duration) time.Time {
	latest := now.Add(limit)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}

// restrictRegions sets the regions that the home regions of the route and of the tenant allow. It refuses a request in any
// other region.
func (p *Policy) restrictRegions(doc *document.Service, req *call.Request, region string) error {
	p.Regions = p.Route.HomeRegions
	if t, ok := doc.Tenant(req.Tenant); ok && len(t.HomeRegions) > 0 {
		p.Regions = intersect(p.Regions, t.HomeRegions)
	}
	if p.Regions == nil || slices.Contains(p.Regions, region) {
		return nil
	}
	if len(p.Regions) == 0 {
		return refuse(fault.New(fault.WrongRegion, "make the home regions of the route and of the tenant overlap",
			"no region may serve route %q for this tenant", p.Route.Name))
	}
	e := fault.New(fault.WrongRegion, "send the request to an instance in "+strings.Join(p.Regions, " or "),
		"route %q may be served only in its home regions", p.Route.Name)
	e.Regions = p.Regions
	return refuse(e)
}

// intersect returns the regions that both lists contain. A nil list a stands for all regions. The result is not nil when b
// is not nil.
func intersect(a, b []string) []string {
	if a == nil {
		return b
	}
	both := []string{}
	for _, r := range a {
		if slices.Contains(b, r) {
			both = append(both, r)
		}
	}
	return both
}

// requireKey sets the idempotency key of a request on a once-only route. A request without a key runs without a claim or
// is refused, as the route says.
func (p *Policy) requireKey(req *call.Request) error {
	if !p.Route.OnceOnly {
		return nil
	}
	p.Key = Header(req, p.Route.KeyHeader)
	if p.Key != "" {
		p.NeedsClaim = true
		return nil
	}
	if p.Route.OnMissingKey == document.MissingKeyRun {
		return nil
	}
	return refuse(fault.New(fault.MissingKey,
		"send a unique "+p.Route.KeyHeader+" header and repeat it when you send the request again",
		"route %q runs a request at most once and needs a key", p.Route.Name))
}

// Header returns the first value of a header field, or "" when the request does not have the field.
func Header(req *call.Request, name string) string {
	for _, f := range req.Header {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}
