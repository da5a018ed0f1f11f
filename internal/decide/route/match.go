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
		found := firstMatch(doc, method, path)
		return found, found != nil
	}
	paths, ok := decodings(path)
	if !ok {
		return nil, false
	}
	found := firstMatch(doc, method, paths[0])
	for _, decoding := range paths[1:] {
		if firstMatch(doc, method, decoding) != found {
			return nil, false
		}
	}
	return found, found != nil
}

// firstMatch returns the first route that matches a decoded path, or nil.
func firstMatch(doc *document.Service, method, path string) *document.Route {
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if matchMethod(r.Methods, method) && matchPath(r.Path, path) {
			return r
		}
	}
	return nil
}

// maskEncodedSlash replaces an encoded slash by an encoded NUL, which no pattern contains, because some servers treat an
// encoded slash as part of its segment.
var maskEncodedSlash = strings.NewReplacer("%2f", "%00", "%2F", "%00")

// decodings returns the decoded forms of a path that backend servers may use: with encoded slashes as separators, with
// encoded slashes inside segments, and with repeated slashes merged. It returns false for a path that cannot be decoded or
// that has "." or ".." segments.
func decodings(path string) ([]string, bool) {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, false
	}
	unsplit, err := url.PathUnescape(maskEncodedSlash.Replace(path))
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
	return []string{decoded, unsplit, merged}, true
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// matchPath compares a pattern and a path segment by segment. "{name}" matches one non-empty segment, a final "*" matches
// the rest of the path.
func matchPath(pattern, path string) bool {
	for {
		var patternSegment, segment string
		var morePattern, morePath bool
		patternSegment, pattern, morePattern = strings.Cut(pattern, "/")
		if patternSegment == "*" && !morePattern {
			return true
		}
		segment, path, morePath = strings.Cut(path, "/")
		if !matchSegment(patternSegment, segment) || morePattern != morePath {
			return false
		}
		if !morePattern {
			return true
		}
	}
}

func matchSegment(pattern, segment string) bool {
	if strings.HasPrefix(pattern, "{") && strings.HasSuffix(pattern, "}") {
		return segment != ""
	}
	return pattern == segment
}
