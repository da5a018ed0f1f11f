package route_test

import (
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Guards against a request that gets the policy of another route: by a prefix, an empty segment, a segment too many, a
// method that the route does not name, or a later route that matches too.
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
			t.Errorf("%s %q takes route %q, want %q", c.method, c.path, got, c.want)
		}
	}
}
