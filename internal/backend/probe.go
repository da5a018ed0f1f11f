package backend

import (
	"context"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// ProbeTimeout bounds one probe. It is shorter than the minimum interval between two probes of a server.
const ProbeTimeout = 900 * time.Millisecond

// ProbeResult is the result of one probe of a backend server.
type ProbeResult struct {
	// ConnectionRefused is true when the connection was refused or reset and there is no evidence that the server is
	// still the same incarnation. A probe that timed out or got an invalid answer is neither refused nor answered.
	ConnectionRefused bool
	Answered          bool
	// InvalidAnswer is true when the server sent bytes that are no answer.
	InvalidAnswer bool
	// State, Incarnation, Running and Slots are the values that the server reported.
	State          string
	Incarnation    string
	Running, Slots int
}

// Probe requests the state of a server over the prober's pool. The status code of the answer is ignored, because a
// health endpoint can be out of date. When a reused connection breaks, the probe is repeated once over a new one; the
// incarnation in that answer shows whether the server has restarted.
func Probe(ctx context.Context, pool *Pool, service, path string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := &call.Request{ID: "probe", Service: service, Method: http.MethodGet, Path: path, Deadline: deadline}
	first := pool.Check(ctx, req)
	if first.Err == nil {
		return answeredResult(first)
	}
	if first.ConnectionRefused || isUnanswered(ctx, first.Err) {
		return failedResult(ctx, first.Err)
	}
	second := pool.Check(ctx, req)
	if second.Err != nil {
		return failedResult(ctx, second.Err)
	}
	result := answeredResult(second)
	result.ConnectionRefused = result.Incarnation == "" && !endedWhileIdle(first.Err)
	return result
}

func answeredResult(r Result) ProbeResult {
	return ProbeResult{Answered: true, State: r.State, Incarnation: r.Incarnation, Running: r.Running, Slots: r.Slots}
}

func failedResult(ctx context.Context, err error) ProbeResult {
	return ProbeResult{ConnectionRefused: !isUnanswered(ctx, err), InvalidAnswer: IsInvalidAnswer(err)}
}

// isUnanswered reports whether an exchange ended by a timeout or an invalid answer, on a connection that did not break.
func isUnanswered(ctx context.Context, err error) bool {
	return ctx.Err() != nil || IsTimeout(err) || IsInvalidAnswer(err)
}
