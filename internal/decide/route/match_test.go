package route_test

import (
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Guards against a request that gets the policy of the wrong route: by prefix, by an empty or an additional segment, by a
// method that the route does not list, or by a later route that matches too.
func TestFirstMatchingRouteApplies(t *testing.T) {
	doc := &document.Service{Routes: []document.Route{
		{Name: "dispatch", Methods: []string{"POST", "PUT"}, Path: "/dispatches"},
		{Name: "report", Methods: []string{"GET"}, Path: "/reports/{id}/photos"},
		{Name: "crews", Path: "/crews/*"},
		{Name: "crew", Path: "/crews/{id}"},
		{Name: "root", Methods: []string{"GET"}, Path: "/"},
	}}
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/dispatches", "dispatch"},
		{"PUT", "/dispatches", "dispatch"},
		{"GET", "/dispatches", ""},
		{"post", "/dispatches", ""},
		{"POST", "/dispatches/", ""},
		{"POST", "/dispatches/7", ""},
		{"POST", "/dispatch", ""},
		{"POST", "dispatches", ""},
		{"GET", "/reports/7/photos", "report"},
		{"GET", "/reports//photos", ""},
		{"GET", "/reports/7", ""},
		{"GET", "/reports/7/photos/1", ""},
		{"GET", "/reports/7/8/photos", ""},
		{"GET", "/crews/7", "crews"},
		{"GET", "/crews/7/members/2", "crews"},
		{"GET", "/crews/", "crews"},
		{"GET", "/crews", ""},
		{"GET", "/", "root"},
		{"GET", "", ""},
	} {
		got := ""
		if r, ok := route.Match(doc, c.method, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s %q matches route %q, want %q", c.method, c.path, got, c.want)
		}
	}
}

// Guards against a request that evades the policy of its route by another encoding of its path, which matches a catch-all
// route here but is decoded by the backend server.
func TestEncodedPathDoesNotEvadeRoute(t *testing.T) {
	doc := &document.Service{Routes: []document.Route{{Name: "dispatch", Path: "/dispatches/{id}"}, {Name: "all", Path: "/*"}}}
	for path, want := range map[string]string{
		"/dispatches/7":          "dispatch",
		"/dispatche%73/7":        "dispatch",
		"/%64ispatches/%37":      "dispatch",
		"/dispatches%2F7":        "",
		"/dispatches/7%2f8":      "",
		"//dispatches/7":         "",
		"/dispatches//7":         "",
		"/dispatches/%00":        "dispatch",
		"/crews/a%2Fb//c%20d/":   "all",
		"/x/../dispatches/7":     "",
		"/x/%2e%2E/dispatches/7": "",
		"/x/..%2Fdispatches/7":   "",
		"/./dispatches/7":        "",
		"/dispatches/%zz":        "",
		"/x/..y/.z":              "all",
		"/":                      "all",
		"//":                     "all",
	} {
		got := ""
		if r, ok := route.Match(doc, "POST", path); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%q matches route %q, want %q", path, got, want)
		}
	}
}
