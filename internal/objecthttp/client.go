package objecthttp

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/httpstatus"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// callTimeout bounds one call. The platform answers in milliseconds; a slower answer counts as an outage.
	callTimeout = 2 * time.Second
	// watchIdleTimeout is the longest time without a line of a watch. The platform sends a bookmark every 10 s.
	watchIdleTimeout = 30 * time.Second
	// maxConnections bounds the connections to the platform: calls and watches together.
	maxConnections = 32
	// maxIdleConnections bounds the connections that are kept open between calls.
	maxIdleConnections    = 8
	connectionIdleTimeout = 60 * time.Second
	// maxHeadBytes bounds the head of an answer, together with the interim answers before it.
	maxHeadBytes = 64 << 10
)

// Client implements objectapi.API over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	transport *httpstatus.Transport
}

var _ objectapi.API = (*Client)(nil)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a client for the object API at an IP address and port. A nil dialer selects TCP.
func New(address string, dial Dialer) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: callTimeout}).DialContext
	}
	transport := httpstatus.NewTransport(&http.Transport{
		DialContext: dial, ResponseHeaderTimeout: callTimeout, MaxConnsPerHost: maxConnections,
		MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: connectionIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
	return &Client{base: "http://" + address + PathPrefix, transport: transport}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns the object at its current version.
func (c *Client) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	call := apiCall{method: http.MethodGet, kind: kind, name: name}
	var item Item
	if err := c.do(ctx, call, &item); err != nil {
		return objectapi.Object{}, err
	}
	return call.acceptObject(item, 0)
}

// List returns all objects of a kind and the version at which a watch continues.
func (c *Client) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error) {
	call := apiCall{method: http.MethodGet, kind: kind}
	var list List
	if err := c.do(ctx, call, &list); err != nil {
		return nil, 0, err
	}
	objects := make([]objectapi.Object, 0, len(list.Objects))
	for _, item := range list.Objects {
		if item.Kind != kind || !ValidName(item.Name) || item.Version == 0 || item.Version > list.Version {
			return nil, 0, call.malformedAnswerError("the list holds an object with a wrong kind, name or version")
		}
		objects = append(objects, item.object())
	}
	return objects, list.Version, nil
}

// Create adds an object.
func (c *Client) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return c.write(ctx, apiCall{method: http.MethodPost, kind: kind, name: name, body: &Write{Value: value}})
}

// Update replaces the value if the object still has the given version.
func (c *Client) Update(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	return c.write(ctx, apiCall{method: http.MethodPut, kind: kind, name: name, version: version, body: &Write{Value: value}})
}

// Delete removes the object if it still has the given version.
func (c *Client) Delete(ctx context.Context, kind objectapi.Kind, name string, version uint64) error {
	return c.do(ctx, apiCall{method: http.MethodDelete, kind: kind, name: name, version: version}, nil)
}

func (c *Client) write(ctx context.Context, call apiCall) (objectapi.Object, error) {
	var item Item
	if err := c.do(ctx, call, &item); err != nil {
		return objectapi.Object{}, err
	}
	object, err := call.acceptObject(item, call.version)
	object.Value = call.body.Value
	return object, err
}

// apiCall describes one call to the object API.
type apiCall struct {
	method  string
	kind    objectapi.Kind
	name    string
	version uint64
	body    *Write
}

func (call apiCall) isWrite() bool { return call.method != http.MethodGet }

func (call apiCall) objectPath() string {
	if call.name == "" {
		return string(call.kind)
	}
	return string(call.kind) + "/" + call.name
}

func (call apiCall) url(base string) string {
	address := base + url.PathEscape(string(call.kind))
	if call.name != "" {
		address += "/" + url.PathEscape(call.name)
	}
	if call.version != 0 {
		address += "?version=" + strconv.FormatUint(call.version, 10)
	}
	return address
}

func (call apiCall) validate() error {
	if !ValidName(string(call.kind)) || call.name != "" && !ValidName(call.name) || call.isWrite() && call.name == "" {
		return fault.New(fault.Invalid, "use lower-case letters, digits, dots and dashes", "object name %q is not valid", call.objectPath())
	}
	if call.body != nil && len(call.body.Value) > objectapi.MaxValueBytes {
		return fault.New(fault.Invalid, "shorten the value", "value of %s is larger than 1 MiB", call.objectPath())
	}
	return nil
}

// acceptObject returns the object of an answer, which must be the requested one and newer than the given version.
func (call apiCall) acceptObject(item Item, after uint64) (objectapi.Object, error) {
	if item.Kind != call.kind || item.Name != call.name || item.Version <= after || len(item.Value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, call.malformedAnswerError("the answer is about another object or version")
	}
	return item.object(), nil
}
