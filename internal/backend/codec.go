package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// encode builds the HTTP request for the backend server. Deadline, hops and resends go on with what remains.
func encode(req *call.Request, now time.Time) *http.Request {
	header := make(http.Header, len(req.Header)+4)
	host := req.Service
	for _, f := range req.Header {
		if strings.EqualFold(f.Name, "Host") {
			host = f.Value
			continue
		}
		header[http.CanonicalHeaderKey(f.Name)] = append(header[http.CanonicalHeaderKey(f.Name)], f.Value)
	}
	if !req.Deadline.IsZero() {
		header.Set(HeaderTimeout, strconv.FormatInt(max(1, req.Deadline.Sub(now).Milliseconds()), 10))
	}
	header.Set(HeaderHops, strconv.Itoa(req.Hops+1))
	header.Set(HeaderRetries, strconv.Itoa(req.RetriesLeft))
	header.Set(HeaderRequestID, req.ID)
	out := &http.Request{
		Method: req.Method, Host: host, Header: header, ProtoMajor: 1, ProtoMinor: 1,
		URL: target(req), ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out
}

// target keeps the path as the caller escaped it.
func target(req *call.Request) *url.URL {
	u := &url.URL{Path: req.Path, RawQuery: req.Query}
	if plain, err := url.PathUnescape(req.Path); err == nil && plain != req.Path {
		u.Path, u.RawPath = plain, req.Path
	}
	return u
}

// hopByHop are the header fields that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd returns the header fields that are passed on: not those of one connection, nor those that the Connection
// field names.
func EndToEnd(header http.Header) []call.Field {
	named := map[string]bool{}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]call.Field, 0, len(header))
	for name, values := range header {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, call.Field{Name: name, Value: value})
		}
	}
	return fields
}

// decodeHeader returns the fields of an answer that go on to the caller.
func decodeHeader(header http.Header) []call.Field {
	fields := EndToEnd(header)
	kept := fields[:0]
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, "Backend-") {
			kept = append(kept, f)
		}
	}
	return kept
}

// readServerState reads what the server says about itself. Malformed values are passed over.
func readServerState(result *Result, header http.Header) {
	result.State = header.Get(HeaderState)
	result.Draining = result.State == "draining"
	result.Incarnation = header.Get(HeaderIncarnation)
	running, slots, ok := strings.Cut(header.Get(HeaderLoad), "/")
	if !ok {
		return
	}
	result.Running, _ = strconv.Atoi(running)
	result.Slots, _ = strconv.Atoi(slots)
}
