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
	// Encode adds the header fields that describe a request to the server.
	Encode(header http.Header, req *call.Request, now time.Time)
	// Decode stores the values that the server reports about itself and its answer in the result. It sets the fate
	// DeclaredNotRun when the server declares that it did not run the request.
	Decode(result *Result, status int, header http.Header)
	// CheckOwnership decides whether an answer belongs to the request. If reused is true, the connection has carried other
	// requests or answers before, and the server may have written an earlier answer once more.
	CheckOwnership(req *call.Request, reused bool, status int, header http.Header) Ownership
}

// Ownership states whether an answer belongs to the request in flight.
type Ownership int

// Ownerships of an answer.
const (
	// OwnAnswer is the answer to the request.
	OwnAnswer Ownership = iota
	// UnidentifiedAnswer counts as the answer to the request, although it does not name the request.
	UnidentifiedAnswer
	// ForeignAnswer is a complete answer to an earlier request; the answer to this request may follow.
	ForeignAnswer
	// UnprovenAnswer is an answer without evidence that it belongs to the request.
	UnprovenAnswer
)

// nativeCodec implements Codec with fuchsiahub's native header fields.
type nativeCodec struct{}

// Encode adds the time until the deadline, the nesting depth and the remaining resends.
func (nativeCodec) Encode(header http.Header, req *call.Request, now time.Time) {
	if !req.Deadline.IsZero() {
		header.Set(HeaderTimeout, strconv.FormatInt(max(1, req.Deadline.Sub(now).Milliseconds()), 10))
	}
	header.Set(HeaderHops, strconv.Itoa(req.Hops+1))
	header.Set(HeaderRetries, strconv.Itoa(req.RetriesLeft))
	header.Set(HeaderRequestID, req.ID)
}

// Decode reads the native header fields.
func (nativeCodec) Decode(result *Result, status int, header http.Header) {
	readServerState(result, header)
	if status == http.StatusServiceUnavailable && header.Get(HeaderNotRun) == "true" {
		result.Fate = call.DeclaredNotRun
	}
}

// CheckOwnership accepts every answer, because these servers do not echo request ids.
func (nativeCodec) CheckOwnership(*call.Request, bool, int, http.Header) Ownership {
	return UnidentifiedAnswer
}

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
		header.Set("User-Agent", "") // otherwise net/http adds its default
	}
	codec.Encode(header, req, now)
	out := &http.Request{
		Method: req.Method, Host: host, Header: header, ProtoMajor: 1, ProtoMinor: 1,
		URL: requestTarget(req), ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out
}

// requestTarget returns the request target with the path and query exactly as the caller sent them.
func requestTarget(req *call.Request) *url.URL {
	if strings.HasPrefix(req.Path, "/") && !strings.HasPrefix(req.Path, "//") {
		pathAndQuery := req.Path
		if req.Query != "" {
			pathAndQuery += "?" + req.Query
		}
		return &url.URL{Opaque: pathAndQuery}
	}
	// An opaque target that begins with two slashes would be parsed as an authority.
	u := &url.URL{Path: req.Path, RawQuery: req.Query}
	if unescaped, err := url.PathUnescape(req.Path); err == nil && unescaped != req.Path {
		u.Path, u.RawPath = unescaped, req.Path
	}
	return u
}

// hopByHopFields holds the header fields that apply to one connection only.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd returns the header fields that are forwarded: all except the hop-by-hop fields and those that the Connection
// field names.
func EndToEnd(header http.Header) []call.Field {
	connectionFields := map[string]bool{}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			connectionFields[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]call.Field, 0, len(header))
	for name, values := range header {
		if hopByHopFields[name] || connectionFields[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, call.Field{Name: name, Value: value})
		}
	}
	return fields
}

// decodeHeader returns the fields of an answer that are forwarded to the caller.
func decodeHeader(header http.Header) []call.Field {
	fields := EndToEnd(header)
	forwarded := fields[:0]
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, "Backend-") {
			forwarded = append(forwarded, f)
		}
	}
	return forwarded
}

// readServerState reads the state and load that the server reports. Malformed values are ignored.
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
