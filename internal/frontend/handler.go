package frontend

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/memory"
)

// Header fields between callers and instances.
const (
	// HeaderService names the service. Without it, the host name in the Host field is the service name.
	HeaderService = "Fuchsiahub-Service"
	// HeaderTenant names the customer.
	HeaderTenant = "Fuchsiahub-Tenant"
	// HeaderOutcome says whether the request ran: "not-run", "unknown" or "answered".
	HeaderOutcome = "Fuchsiahub-Outcome"
	// HeaderReason is the error kind of an answer that reports an error.
	HeaderReason = "Fuchsiahub-Reason"
	// HeaderHomeRegions lists the regions that may serve the request.
	HeaderHomeRegions = "Fuchsiahub-Home-Regions"
)

// maxRetries is the maximum number of retries that a caller can allow, and the default. The service
// document may lower it.
const maxRetries = 5

const (
	// bodyTimeout is the maximum time for reading a body.
	bodyTimeout = 30 * time.Second
	// discardTimeout is the maximum time for which the server reads the rest of a body that is not used.
	discardTimeout = time.Second
	// exhaustedRetryAfter is when a request may come again whose body does not fit into the memory.
	exhaustedRetryAfter = time.Second
)

// Server answers transport-neutral requests. MaxBody returns the body size limit of a service in bytes.
type Server interface {
	MaxBody(service string) (int64, error)
	Do(ctx context.Context, req *call.Request) (*call.Answer, error)
}

// Handler is the HTTP front end.
type Handler struct {
	server Server
	newID  func() string
	log    *slog.Logger
	// countCut counts a request that was cut off, by cause. processEnding is closed before the remaining connections are.
	countCut      func(cause string)
	processEnding <-chan struct{}
	// bodies bounds the memory of the bodies of all requests.
	bodies *memory.Budget
}

// Option configures a handler.
type Option func(*Handler)

// WithLog sets the log for refused and failed requests. By default they are not logged.
func WithLog(log *slog.Logger) Option { return func(h *Handler) { h.log = log } }

// WithCutCounter sets the function that counts a request whose connection ended without a complete answer.
func WithCutCounter(count func(cause string)) Option { return func(h *Handler) { h.countCut = count } }

// WithProcessEnding sets the channel that is closed before the remaining connections are closed at the end of the process.
func WithProcessEnding(ending <-chan struct{}) Option {
	return func(h *Handler) { h.processEnding = ending }
}

// WithBodies sets the budget of the memory that the bodies of all requests take together. By default there is no limit.
func WithBodies(budget *memory.Budget) Option { return func(h *Handler) { h.bodies = budget } }

// NewHandler returns the HTTP handler for callers. Function newID generates IDs for requests without one.
func NewHandler(server Server, newID func() string, options ...Option) http.Handler {
	h := &Handler{server: server, newID: newID, log: slog.New(slog.DiscardHandler), countCut: func(string) {}, bodies: memory.NewBudget(0)}
	for _, option := range options {
		option(h)
	}
	r := chi.NewRouter()
	r.HandleFunc("/*", h.serve)
	r.NotFound(h.serve)
	r.MethodNotAllowed(h.serve)
	return r
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	lease := h.bodies.NewLease(r.Context())
	defer lease.Release()
	req, err := h.readRequest(w, r, lease)
	if err != nil {
		id := h.requestID(r)
		h.answerError(w, id, serviceOf(r), err)
		h.reportCut(r, &exchange{id: id, began: began, beingRead: true, err: err, isCut: errors.Is(err, io.ErrUnexpectedEOF)})
		return
	}
	x := &exchange{id: req.ID, began: began}
	answer, err := h.server.Do(r.Context(), req)
	if err != nil {
		h.answerError(w, req.ID, req.Service, err)
		h.reportCut(r, x)
		return
	}
	x.err = writeAnswer(w, req.ID, answer)
	x.isCut = x.err != nil
	h.reportCut(r, x)
	if x.err != nil && answer.Stream != nil {
		// Aborts the caller's connection, so that a truncated answer cannot be mistaken for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// answerError logs an error and answers with it. The log contains neither path nor body, which must not leave the home regions.
func (h *Handler) answerError(w http.ResponseWriter, id, service string, err error) {
	e := fault.As(err)
	h.log.Info("request not answered", "request_id", id, "service", service, "kind", e.Kind, "not_run", e.NotRun, "error", e.Message)
	writeError(w, id, err)
}

func (h *Handler) requestID(r *http.Request) string {
	if id := r.Header.Get(backend.HeaderRequestID); id != "" && len(id) <= 64 {
		return id
	}
	return h.newID()
}

// readRequest reads the whole request into memory, so that it can be retried if it did not run.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, lease *memory.Lease) (*call.Request, error) {
	req := &call.Request{
		ID: h.requestID(r), Service: serviceOf(r), Tenant: r.Header.Get(HeaderTenant), Method: r.Method,
		Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Header: endToEnd(r), RetriesLeft: maxRetries,
	}
	if err := readAllowances(req, r.Header); err != nil {
		return nil, err
	}
	limit, err := h.server.MaxBody(req.Service)
	if err != nil {
		return nil, err
	}
	req.Body, err = readBody(w, r, lease, limit)
	return req, err
}

func serviceOf(r *http.Request) string {
	if name := r.Header.Get(HeaderService); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

// endToEnd returns the header fields that are forwarded to the backend server.
func endToEnd(r *http.Request) []call.Field {
	fields := backend.EndToEnd(r.Header)
	forwarded := fields[:0]
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, "Fuchsiahub-") || f.Name == HeaderTenant {
			forwarded = append(forwarded, f)
		}
	}
	return append(forwarded, call.Field{Name: "Host", Value: r.Host})
}

// readAllowances reads the deadline, the number of hops so far and the number of retries that the caller allows.
func readAllowances(req *call.Request, header http.Header) error {
	if text := header.Get(backend.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > time.Hour.Milliseconds() {
			return invalidHeader(backend.HeaderTimeout, "use milliseconds from 1 to 3600000")
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if text := header.Get(backend.HeaderHops); text != "" {
		hops, err := strconv.Atoi(text)
		if err != nil || hops < 0 {
			return invalidHeader(backend.HeaderHops, "use a whole number from 0 to "+strconv.Itoa(route.MaxHops))
		}
		req.Hops = hops
	}
	if text := header.Get(backend.HeaderRetries); text != "" {
		left, err := strconv.Atoi(text)
		if err != nil || left < 0 {
			return invalidHeader(backend.HeaderRetries, "use a whole number of at least 0")
		}
		req.RetriesLeft = min(left, maxRetries)
	}
	return nil
}

func invalidHeader(name, remedy string) error {
	return fault.New(fault.BadRequest, remedy, "header %s is not valid", name).MarkNotRun(0)
}

// readBody reads the body of a request in bodyTimeout. Its memory belongs to the lease. After an error the connection ends.
func readBody(w http.ResponseWriter, r *http.Request, lease *memory.Lease, limit int64) (body []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only for a broken connection
	defer func() {
		if err == nil {
			_ = connection.SetReadDeadline(time.Time{}) // same
			return
		}
		w.Header().Set("Connection", "close")
		_ = connection.SetReadDeadline(time.Now().Add(discardTimeout)) // same
	}()
	tooLarge := fault.New(fault.TooLarge, "send less or raise max_body in the document of the service",
		"request body is larger than %d bytes", limit).MarkNotRun(0)
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err = lease.ReadBody(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return nil, fault.New(fault.Overloaded, "send the request again later", "bodies of other requests take the memory").
			MarkNotRun(exhaustedRetryAfter)
	case err != nil:
		return nil, fault.Wrap(err, fault.BadRequest, "send the whole body", "request body could not be read").MarkNotRun(0)
	case int64(len(body)) > limit:
		return nil, tooLarge
	}
	return body, nil
}
