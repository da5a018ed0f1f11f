package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Server handles the requests of callers for every front end.
type Server struct {
	directory *Directory
	self      balance.Location
	requests  *requestChart
	// claims and quarantine are nil if the instance runs without them.
	claims     *Claims
	quarantine *Quarantine
	// stopsBy returns when the process ends at the latest; nil if it is not known.
	stopsBy func() time.Time
}

// Option configures an optional part of a Server.
type Option func(*Server)

// WithClaims enables once-only requests. Without it they are refused.
func WithClaims(c *Claims) Option { return func(s *Server) { s.claims = c } }

// WithQuarantine refuses requests that have crashed backend servers.
func WithQuarantine(q *Quarantine) Option { return func(s *Server) { s.quarantine = q } }

// NewServer returns a server for the services of a directory.
func NewServer(directory *Directory, self balance.Location, options ...Option) (*Server, error) {
	requests, err := loadRequestChart()
	if err != nil {
		return nil, err
	}
	s := &Server{directory: directory, self: self, requests: requests}
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// MaxBody returns the largest request body of a service in bytes, or an error if the service has no document in
// force.
func (s *Server) MaxBody(service string) (int64, error) {
	entry, ok := s.directory.Lookup(service)
	if !ok {
		return 0, unknownService(service)
	}
	return entry.Doc.MaxBody, nil
}

// Do runs one request to completion. The error is a *fault.Error; its NotRun is true if no backend server ran the
// request.
func (s *Server) Do(ctx context.Context, req *call.Request) (*call.Answer, error) {
	entry, ok := s.directory.Lookup(req.Service)
	if !ok {
		return nil, unknownService(req.Service)
	}
	start := time.Now()
	answer, err := s.do(ctx, entry, req)
	if err != nil {
		entry.Metrics.Failed(fault.KindOf(err))
		return answer, err
	}
	entry.Metrics.Answered(time.Since(start))
	return answer, nil
}

func (s *Server) do(ctx context.Context, entry Entry, req *call.Request) (*call.Answer, error) {
	policy, err := route.Decide(time.Now(), entry.Doc, req, s.self.Region)
	if err != nil {
		return nil, err
	}
	if limit := s.stopLimit(); !limit.IsZero() && limit.Before(policy.Deadline) {
		if !time.Now().Before(limit) {
			return nil, errNoTimeToStop()
		}
		policy.Deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, policy.Deadline)
	e := &exchange{ctx: ctx, stopLimit: s.stopLimit, service: entry.Task, claims: s.claims, quarantine: s.quarantine, metrics: entry.Metrics, req: req, policy: policy}
	answer, err := runToCompletion(s.requests, e)
	entry.Metrics.Resent(int64(e.resends))
	if answer != nil && answer.Stream != nil {
		answer.Stream = &requestStream{ReadCloser: answer.Stream, ctx: ctx, cancel: cancel, onCut: func(err error) {
			entry.Metrics.CutAnswer()
			entry.Task.log.Warn("long answer of a backend server was cut off", "request_id", req.ID, "service", req.Service, "error", err)
		}}
		return answer, err
	}
	cancel()
	return answer, err
}

func unknownService(service string) error {
	return fault.New(fault.UnknownService, "name a service in the Fuchsiahub-Service or Host header; list them with: fuchsiahub list",
		"no document is in force for service %q", service).MarkNotRun(0)
}
