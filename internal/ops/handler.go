package ops

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Readiness tells the platform's balancer whether to send requests to the instance.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason explains why the instance is not ready; empty if it is ready.
	Reason string `json:"reason,omitempty"`
}

// Source provides the data that the handler serves.
type Source interface {
	Ready() Readiness
	WriteMetrics(w io.Writer) error
	// State returns a value that the handler encodes as JSON.
	State(r *http.Request) (any, error)
}

// NewHandler returns the HTTP handler for the operations address.
func NewHandler(source Source) http.Handler {
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"status": "running"})
	})
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		readiness := source.Ready()
		status := http.StatusOK
		if !readiness.Ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readiness)
	})
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = source.WriteMetrics(w) // write errors, such as a disconnected client, are ignored
	})
	r.Get("/state", func(w http.ResponseWriter, r *http.Request) {
		state, err := source.State(r)
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, state)
	})
	return r
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // write errors, such as a disconnected client, are ignored
}
