package route

import (
	"net/url"
	"slices"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Match returns the first route of the document that matches the method and the path. The path is percent-encoded, and
// backend servers differ in how they decode it. A path whose decodings match different routes matches none, so that a
// caller cannot evade the policy of a route by encoding its path differently.
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

// first returns the first route that matches a decoded path, or nil.
func first(doc *document.Service, method, path string) *document.Route {
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if matchMethod(r.Methods, method) && matchPath(r.Path, path) {
			return r
		}
	}
	return nil
}

// inSegment replaces an encoded slash by an encoded NUL, which no pattern contains, because some servers treat an encoded
// slash as part of its segment.
var inSegment = strings.NewReplacer("%2f", "%00", "%2F", "%00")

// readings returns the decodings of a path that a backend server may use: with encoded slashes as separators, with
// encoded slashes inside segments, and with repeated slashes merged. It returns false for a path that cannot be decoded or
// that has "." or ".." segments.
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

// matchPath compares a pattern and a path segment by segment. "{name}" matches one non-empty segment, a final "*" matches
// the rest of the path.
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
