package route

import (
	"slices"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Match returns the first route of the document that the method and path match.
func Match(doc *document.Service, method, path string) (*document.Route, bool) {
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if matchMethod(r.Methods, method) && matchPath(r.Path, path) {
			return r, true
		}
	}
	return nil, false
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// matchPath compares segment by segment. "{name}" stands for one non-empty segment, a last "*" for the rest.
func matchPath(pattern, path string) bool {
	for {
		var want, have string
		var moreWant, moreHave bool
		want, pattern, moreWant = strings.Cut(pattern, "/")
		if want == "*" && !moreWant {
			return true
		}
		have, path, moreHave = strings.Cut(path, "/")
		if !matchSegment(want, have) || moreWant != moreHave {
			return false
		}
		if !moreWant {
			return true
		}
	}
}

func matchSegment(want, have string) bool {
	if strings.HasPrefix(want, "{") && strings.HasSuffix(want, "}") {
		return have != ""
	}
	return want == have
}
