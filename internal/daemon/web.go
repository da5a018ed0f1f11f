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
	"fuchsiahub.example/fuchsiahub/internal/ops"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than that of the usual balancers (60 s), so that they close idle connections first.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// web serves the callers' and the operations side of one instance.
type web struct {
	callers    *http.Server
	operations *http.Server
	listeners  struct{ callers, operations net.Listener }
	log        *slog.Logger
}

func (d *Daemon) buildWeb() error {
	config, err := d.settings.TLS.Callers.Config()
	if err != nil {
		return err
	}
	if config == nil {
		d.log.Warn("callers use plain HTTP; set [tls.callers] to protect their connections")
	}
	handler := frontend.NewHandler(d.requests, d.newRequestID, frontend.WithLog(d.log))
	d.web = &web{
		callers: newHTTPServer(d.announcing(handler), d.log), operations: newHTTPServer(ops.NewHandler(&source{d}), d.log), log: d.log,
	}
	d.web.callers.TLSConfig = config
	d.web.listeners.callers, d.web.listeners.operations = d.callers, d.operations
	if config != nil {
		d.web.listeners.callers = tls.NewListener(d.callers, config)
	}
	return nil
}

func newHTTPServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// announcing asks callers to close their connections while the instance stops, so that few idle ones are left to close.
func (d *Daemon) announcing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.lifecycle.Status().Ready {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// newRequestID returns an id that names the instance.
func (d *Daemon) newRequestID() string {
	return d.self.Name + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

func (w *web) serveCallers(context.Context) error {
	return served(w.callers.Serve(w.listeners.callers))
}

func (w *web) serveOperations(context.Context) error {
	return served(w.operations.Serve(w.listeners.operations))
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain takes no new connections and returns when the requests in progress have ended.
func (w *web) drain(ctx context.Context) error { return w.callers.Shutdown(ctx) }

// close ends what drain left.
func (w *web) close() {
	_ = w.callers.Close()    // the process ends; there is nothing to do about an error
	_ = w.operations.Close() // same
}
