package route_test

import (
	"slices"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

var now = time.Unix(1000, 0)

// serviceDocument returns a service document that has routes with and without home regions, and tenants with zero, one and
// two home regions.
func serviceDocument() *document.Service {
	return &document.Service{
		Name: "intake", Retry: document.Retry{Attempts: 2},
		Routes: []document.Route{
			{Name: "lookup", Path: "/lookup", Deadline: 30 * time.Second},
			{Name: "medical", Path: "/medical", Deadline: 30 * time.Second, HomeRegions: []string{"permian", "gulf"}},
			{Name: "dispatch", Path: "/dispatch", Deadline: 30 * time.Second, OnceOnly: true, KeyHeader: "Idempotency-Key", OnMissingKey: document.MissingKeyRefuse},
			{Name: "signal", Path: "/signal", Deadline: 30 * time.Second, OnceOnly: true, KeyHeader: "Signal-Key", OnMissingKey: document.MissingKeyRun},
		},
		Tenants: []document.Tenant{
			{Name: "gulf-water", HomeRegions: []string{"gulf"}},
			{Name: "hill-water", HomeRegions: []string{"hill-country"}},
			{Name: "both", HomeRegions: []string{"gulf", "hill-country"}},
			{Name: "anywhere"},
		},
	}
}

// checkRefusal checks that an error has the kind, is marked as not run and has a remedy. An empty kind means no error.
func checkRefusal(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	if kind == "" {
		if err != nil {
			t.Errorf("unexpected refusal: %v", err)
		}
		return
	}
	if !fault.Is(err, kind) || !fault.As(err).NotRun || fault.As(err).Remedy == "" {
		t.Errorf("error %v, want kind %s, not run, with a remedy", err, kind)
	}
}

// Guards against a request that is served outside the home regions of its route or of its tenant, that is refused inside
// them, and against a policy that lists regions that one of the two excludes.
func TestHomeRegionsOfRouteAndTenant(t *testing.T) {
	for _, c := range []struct {
		path, tenant, region string
		regions              []string // nil means all
		kind                 fault.Kind
	}{
		{"/lookup", "", "hill-country", nil, ""},
		{"/lookup", "anywhere", "hill-country", nil, ""},
		{"/lookup", "unlisted", "hill-country", nil, ""},
		{"/lookup", "gulf-water", "gulf", []string{"gulf"}, ""},
		{"/lookup", "gulf-water", "permian", []string{"gulf"}, fault.WrongRegion},
		{"/medical", "", "permian", []string{"permian", "gulf"}, ""},
		{"/medical", "anywhere", "gulf", []string{"permian", "gulf"}, ""},
		{"/medical", "", "hill-country", []string{"permian", "gulf"}, fault.WrongRegion},
		{"/medical", "both", "gulf", []string{"gulf"}, ""},
		{"/medical", "both", "permian", []string{"gulf"}, fault.WrongRegion},
		{"/medical", "both", "hill-country", []string{"gulf"}, fault.WrongRegion},
		{"/medical", "hill-water", "hill-country", nil, fault.WrongRegion},
		{"/medical", "hill-water", "permian", nil, fault.WrongRegion},
	} {
		t.Run(c.path+" "+c.tenant+" "+c.region, func(t *testing.T) {
			req := &call.Request{Method: "GET", Path: c.path, Tenant: c.tenant, RetriesLeft: 2}
			p, err := route.Decide(now, serviceDocument(), req, c.region)
			checkRefusal(t, err, c.kind)
			if regions := p.Regions; err == nil && (!slices.Equal(regions, c.regions) || (regions == nil) != (c.regions == nil)) {
				t.Errorf("regions %q, want %q", regions, c.regions)
			}
			if err != nil && !slices.Equal(fault.As(err).Regions, c.regions) {
				t.Errorf("the refusal lists regions %q, want %q", fault.As(err).Regions, c.regions)
			}
		})
	}
}

// Guards against unbounded nesting of calls, a deadline later than the caller's or the route's, work for a caller whose
// deadline has passed, and more resends than the document or the caller allows.
func TestHopsDeadlineAndResends(t *testing.T) {
	for name, c := range map[string]struct {
		req      call.Request
		deadline time.Duration
		resends  int
		kind     fault.Kind
	}{
		"no deadline":          {call.Request{RetriesLeft: 9}, 30 * time.Second, 2, ""},
		"earlier deadline":     {call.Request{Deadline: now.Add(time.Second), RetriesLeft: 1}, time.Second, 1, ""},
		"later deadline":       {call.Request{Deadline: now.Add(time.Hour)}, 30 * time.Second, 0, ""},
		"deadline is now":      {call.Request{Deadline: now}, 0, 0, fault.DeadlineExceeded},
		"deadline has passed":  {call.Request{Deadline: now.Add(-time.Second)}, 0, 0, fault.DeadlineExceeded},
		"deepest nesting":      {call.Request{Hops: 13}, 30 * time.Second, 0, ""},
		"one level too deep":   {call.Request{Hops: 14}, 0, 0, fault.TooManyHops},
		"no route for a cycle": {call.Request{Hops: 14, Path: "/none"}, 0, 0, fault.TooManyHops},
		"no route":             {call.Request{Path: "/none"}, 0, 0, fault.UnknownRoute},
	} {
		t.Run(name, func(t *testing.T) {
			if c.req.Path == "" {
				c.req.Path = "/lookup"
			}
			p, err := route.Decide(now, serviceDocument(), &c.req, "permian")
			checkRefusal(t, err, c.kind)
			if err == nil && (!p.Deadline.Equal(now.Add(c.deadline)) || p.Resends != c.resends) {
				t.Errorf("deadline in %v, %d resends; want %v, %d", p.Deadline.Sub(now), p.Resends, c.deadline, c.resends)
			}
		})
	}
}

// Guards against a once-only request that runs without a claim although the document does not allow that, and against
// claims for requests that are not once-only.
func TestOnceOnlyNeedsKey(t *testing.T) {
	key := func(name, value string) []call.Field {
		return []call.Field{{Name: "Accept", Value: "*"}, {Name: name, Value: value}}
	}
	for name, c := range map[string]struct {
		path   string
		header []call.Field
		once   bool
		key    string
		kind   fault.Kind
	}{
		"key":                  {"/dispatch", key("Idempotency-Key", "k1"), true, "k1", ""},
		"key in another case":  {"/dispatch", key("idempotency-key", "k1"), true, "k1", ""},
		"no key":               {"/dispatch", nil, false, "", fault.MissingKey},
		"empty key":            {"/dispatch", key("Idempotency-Key", ""), false, "", fault.MissingKey},
		"key in another field": {"/dispatch", key("Signal-Key", "k1"), false, "", fault.MissingKey},
		"own field":            {"/signal", key("Signal-Key", "k1"), true, "k1", ""},
		"no key, runs":         {"/signal", nil, false, "", ""},
		"not once-only":        {"/lookup", key("Idempotency-Key", "k1"), false, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := route.Decide(now, serviceDocument(), &call.Request{Path: c.path, Header: c.header}, "permian")
			checkRefusal(t, err, c.kind)
			if p.NeedsClaim != c.once || p.Key != c.key {
				t.Errorf("once %t with key %q, want %t with %q", p.NeedsClaim, p.Key, c.once, c.key)
			}
		})
	}
}
