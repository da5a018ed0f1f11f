package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/memory"
	"fuchsiahub.example/fuchsiahub/internal/ops"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds one write, in case the caller does not read.
	writeTimeout = 10 * time.Second
	// idleTimeout exceeds the 60 s of common load balancers, so that they close idle connections first.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// httpServers runs the HTTP servers for callers and for operations.
type httpServers struct {
	callers    *http.Server
	operations *http.Server
	listeners  struct{ callers, operations net.Listener }
	log        *slog.Logger
	// ending is closed before the remaining connections of callers are.
	ending      chan struct{}
	connections *callerConnections
}

func (d *Daemon) buildHTTPServers() error {
	tlsConfig, err := d.settings.TLS.Callers.Config()
	if err != nil {
		return err
	}
	if tlsConfig == nil {
		d.log.Warn("connections of callers are not encrypted; set [tls.callers] to serve HTTPS")
	}
	ending := make(chan struct{})
	handler := frontend.NewHandler(d.requestServer, d.newRequestID, frontend.WithLog(d.log),
		frontend.WithCutCounter(d.metrics.Cut), frontend.WithProcessEnding(ending), frontend.WithBodies(memory.NewBudget(int64(d.settings.Memory.BodiesMB)<<20)))
	d.httpServers = &httpServers{
		callers: newHTTPServer(d.closeWhenNotReady(handler), d.log), operations: newHTTPServer(ops.NewHandler(&statusSource{d}), d.log), log: d.log,
		connections: newCallerConnections(), ending: ending,
	}
	d.httpServers.callers.TLSConfig = tlsConfig
	d.httpServers.listeners.callers, d.httpServers.listeners.operations = d.callers, d.operations
	if tlsConfig != nil {
		d.httpServers.listeners.callers = limitedListener{Listener: tls.NewListener(d.callers, tlsConfig), base: d.callers}
	}
	return nil
}

func newHTTPServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug), ConnState: noteConnState,
	}
}

// closeWhenNotReady wraps a handler so that callers close their connections while the instance stops. Few idle connections
// then remain for the drain to close.
func (d *Daemon) closeWhenNotReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.lifecycle.Status().Ready {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// newRequestID returns a random ID that starts with the name of the instance.
func (d *Daemon) newRequestID() string {
	return d.self.Name + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

func (s *httpServers) serveCallers(context.Context) error {
	s.connections.open.Add(1)
	defer s.connections.open.Done()
	err := s.callers.Serve(&callerListener{Listener: s.listeners.callers, connections: s.connections})
	if errors.Is(err, net.ErrClosed) && s.connections.stopping.Err() != nil {
		return nil
	}
	return ignoreServerClosed(err)
}

func (s *httpServers) serveOperations(context.Context) error {
	return ignoreServerClosed(s.operations.Serve(s.listeners.operations))
}

// ignoreServerClosed turns the error of a planned shutdown into nil.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain closes the listener for callers and returns when no request is in flight.
func (s *httpServers) drain(ctx context.Context) error {
	s.connections.stop()
	if setDeadline(s.listeners.callers, time.Unix(1, 0)) != nil {
		_ = s.listeners.callers.Close() // the server reports errors of the listener
	}
	return s.connections.wait(ctx)
}

// close closes the connections that remain after drain.
func (s *httpServers) close() {
	close(s.ending)
	_ = s.callers.Close()    // the process exits, so an error has no consequence
	_ = s.operations.Close() // same
}
