package ops

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Readiness says whether the platform's balancer should send requests to the instance.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason says why the instance is not ready; empty when it is.
	Reason string `json:"reason,omitempty"`
}

// Source gives what the handler shows.
type Source interface {
	Ready() Readiness
	WriteMetrics(w io.Writer) error
	// State returns a value that is written as JSON.
	State(r *http.Request) (any, error)
}

// NewHandler returns the HTTP handler of the operations side.
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
		_ = source.WriteMetrics(w) // the reader has gone; there is nobody to tell
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
	_ = encoder.Encode(value) // the reader has gone; there is nobody to tell
}
