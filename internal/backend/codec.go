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

// Codec translates between calls and the header fields of one kind of backend servers.
type Codec interface {
	// Encode adds the fields that tell a server about a request.
	Encode(header http.Header, req *call.Request, now time.Time)
	// Decode reads what a server says about itself and its answer into the result. It sets the fate
	// DeclaredNotRun when the server says that it did not run the request.
	Decode(result *Result, status int, header http.Header)
	// CheckOwnership says whose answer it is.
	CheckOwnership(req *call.Request, status int, header http.Header) Ownership
}

// Ownership says whether an answer belongs to the request that waits for one.
type Ownership int

// Ownerships of an answer.
const (
	// Own is the answer to the request.
	Own Ownership = iota
	// Foreign is a whole answer to an earlier request; the own one may follow.
	Foreign
	// Unproven is an answer that nothing shows to be that of the request.
	Unproven
)

// ownCodec carries the product's own header fields.
type ownCodec struct{}

// Encode adds deadline, hops and resends with what remains of them.
func (ownCodec) Encode(header http.Header, req *call.Request, now time.Time) {
	if !req.Deadline.IsZero() {
		header.Set(HeaderTimeout, strconv.FormatInt(max(1, req.Deadline.Sub(now).Milliseconds()), 10))
	}
	header.Set(HeaderHops, strconv.Itoa(req.Hops+1))
	header.Set(HeaderRetries, strconv.Itoa(req.RetriesLeft))
	header.Set(HeaderRequestID, req.ID)
}

// Decode reads the product's own header fields.
func (ownCodec) Decode(result *Result, status int, header http.Header) {
	readServerState(result, header)
	if status == http.StatusServiceUnavailable && header.Get(HeaderNotRun) == "true" {
		result.Fate = call.DeclaredNotRun
	}
}

// CheckOwnership takes every answer as the own one: these servers do not echo ids.
func (ownCodec) CheckOwnership(*call.Request, int, http.Header) Ownership { return Own }

// encode builds the HTTP request for the backend server.
func encode(codec Codec, req *call.Request, now time.Time) *http.Request {
	header := make(http.Header, len(req.Header)+4)
	host := req.Service
	for _, f := range req.Header {
		if strings.EqualFold(f.Name, "Host") {
			host = f.Value
			continue
		}
		header[http.CanonicalHeaderKey(f.Name)] = append(header[http.CanonicalHeaderKey(f.Name)], f.Value)
	}
	if len(header["User-Agent"]) == 0 {
		header.Set("User-Agent", "") // net/http would add its own
	}
	codec.Encode(header, req, now)
	out := &http.Request{
		Method: req.Method, Host: host, Header: header, ProtoMajor: 1, ProtoMinor: 1,
		URL: target(req), ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out
}

// target keeps the path and query as the caller wrote them.
func target(req *call.Request) *url.URL {
	if strings.HasPrefix(req.Path, "/") && !strings.HasPrefix(req.Path, "//") {
		whole := req.Path
		if req.Query != "" {
			whole += "?" + req.Query
		}
		return &url.URL{Opaque: whole}
	}
	// An opaque target that begins with two slashes would be read as an authority.
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
