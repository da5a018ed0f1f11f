package frontend

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// writeAnswer writes an answer. After an error the answer is incomplete; the error of a stream is a streamError.
func writeAnswer(w http.ResponseWriter, id string, answer *call.Answer) error {
	header := w.Header()
	for _, f := range answer.Header {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	header.Set(HeaderOutcome, "answered")
	header.Set(backend.HeaderRequestID, id)
	if answer.Stream == nil {
		w.WriteHeader(answer.Status)
		_, err := w.Write(answer.Body)
		if errors.Is(err, http.ErrBodyNotAllowed) {
			return nil // the answer to HEAD has no body
		}
		return err
	}
	defer func() { _ = answer.Stream.Close() }() // the unread rest of the answer is discarded
	w.WriteHeader(answer.Status)
	stream := &checkedStream{Reader: answer.Stream}
	_, err := io.Copy(w, stream)
	if stream.err != nil {
		return streamError{stream.err}
	}
	return err
}

// errorBody is the JSON body of an answer that reports an error of the load balancer, not of a backend server.
type errorBody struct {
	Kind      fault.Kind `json:"kind"`
	Message   string     `json:"message"`
	Remedy    string     `json:"remedy"`
	RequestID string     `json:"request_id"`
	NotRun    bool       `json:"not_run"`
	// HomeRegions lists the regions that may serve the request.
	HomeRegions []string `json:"home_regions,omitempty"`
}

func writeError(w http.ResponseWriter, id string, err error) {
	e := fault.As(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderReason, string(e.Kind))
	header.Set(HeaderOutcome, outcome(e))
	header.Set(backend.HeaderRequestID, id)
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(max(1, int(e.RetryAfter.Seconds()))))
	}
	if len(e.Regions) > 0 {
		header.Set(HeaderHomeRegions, strings.Join(e.Regions, ", "))
	}
	w.WriteHeader(Status(e))
	_ = json.NewEncoder(w).Encode(errorBody{ // write errors, such as a disconnected caller, are ignored
		Kind: e.Kind, Message: e.Message, Remedy: e.Remedy, RequestID: id, NotRun: e.NotRun, HomeRegions: e.Regions,
	})
}

func outcome(e *fault.Error) string {
	switch {
	case e.NotRun:
		return "not-run"
	case e.Kind == fault.AlreadyRun:
		return "answered"
	}
	return "unknown"
}

// statusByKind maps the error kinds that reach callers to HTTP statuses. Other kinds give 500.
var statusByKind = map[fault.Kind]int{
	fault.BadRequest:       http.StatusBadRequest,
	fault.MissingKey:       http.StatusBadRequest,
	fault.TooLarge:         http.StatusRequestEntityTooLarge,
	fault.UnknownService:   http.StatusNotFound,
	fault.UnknownRoute:     http.StatusNotFound,
	fault.WrongRegion:      http.StatusMisdirectedRequest,
	fault.Overloaded:       http.StatusServiceUnavailable,
	fault.NoServer:         http.StatusServiceUnavailable,
	fault.Stopping:         http.StatusServiceUnavailable,
	fault.StoreUnavailable: http.StatusServiceUnavailable,
	fault.DeadlineExceeded: http.StatusGatewayTimeout,
	fault.OutcomeUnknown:   http.StatusBadGateway,
	fault.TooManyHops:      http.StatusLoopDetected,
	fault.InProgress:       http.StatusConflict,
	fault.AlreadyRun:       http.StatusConflict,
	fault.KeyReused:        http.StatusUnprocessableEntity,
	fault.NoClaimsKey:      http.StatusServiceUnavailable,
	fault.Quarantined:      http.StatusUnprocessableEntity,
}

// Status returns the HTTP status of the answer that reports the error.
func Status(e *fault.Error) int {
	if e.AboutEarlierCopy {
		return http.StatusConflict
	}
	if status, ok := statusByKind[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
