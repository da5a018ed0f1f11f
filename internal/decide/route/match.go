package route

import (
	"net/url"
	"slices"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Match returns the first route of the document that the method and path match. A path is percent-encoded, and backend
// servers differ in how they decode it. A path that takes another route when it is read in another way has no match, so
// that no way of writing a path evades the policy of its route.
func Match(doc *document.Service, method, path string) (*document.Route, bool) {
	if !strings.Contains(path, "%") && !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		found := first(doc, method, path)
		return found, found != nil
	}
	paths, ok := readings(path)
	if !ok {
		return nil, false
	}
	found := first(doc, method, paths[0])
	for _, reading := range paths[1:] {
		if first(doc, method, reading) != found {
			return nil, false
		}
	}
	return found, found != nil
}

func first(doc *document.Service, method, path string) *document.Route {
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if matchMethod(r.Methods, method) && matchPath(r.Path, path) {
			return r
		}
	}
	return nil
}

// inSegment replaces an encoded slash by a character that no pattern holds, because some servers take it as a part of
// its segment.
var inSegment = strings.NewReplacer("%2f", "%00", "%2F", "%00")

// readings returns the ways in which a backend server may read a path. It reports false for a path that cannot be
// decoded and for one with "." or ".." segments.
func readings(path string) ([]string, bool) {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, false
	}
	whole, err := url.PathUnescape(inSegment.Replace(path))
	if err != nil {
		return nil, false
	}
	segments := strings.Split(decoded, "/")
	if slices.Contains(segments, ".") || slices.Contains(segments, "..") {
		return nil, false
	}
	merged := "/" + strings.Join(slices.DeleteFunc(segments, func(s string) bool { return s == "" }), "/")
	if strings.HasSuffix(decoded, "/") && merged != "/" {
		merged += "/"
	}
	return []string{decoded, whole, merged}, true
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
