package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// ProbeTimeout bounds one probe. It is shorter than the least time between two probes of a server.
const ProbeTimeout = 900 * time.Millisecond

// ProbeResult is what one probe showed of a backend server.
type ProbeResult struct {
	// Refused is true when the connection was refused or reset and nothing shows that the server still is the same. A
	// probe that took too long is neither refused nor answered.
	Refused  bool
	Answered bool
	// State, Incarnation, Running and Slots are what the server said about itself.
	State          string
	Incarnation    string
	Running, Slots int
}

// Probe asks a server for its state over the pool of the prober. The status of the answer does not count: a health
// endpoint can be out of date. When a kept connection breaks, the server is asked once more over a new one; its
// incarnation then tells whether it has restarted.
func Probe(ctx context.Context, pool *Pool, service, path string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := &call.Request{ID: "probe", Service: service, Method: http.MethodGet, Path: path, Deadline: deadline}
	first := ask(ctx, pool, req)
	if first.Err == nil {
		return answered(first)
	}
	if first.Refused || silent(ctx, first.Err) {
		return ProbeResult{Refused: !silent(ctx, first.Err)}
	}
	second := ask(ctx, pool, req)
	if second.Err != nil {
		return ProbeResult{Refused: !silent(ctx, second.Err)}
	}
	result := answered(second)
	result.Refused = result.Incarnation == "" && !errors.Is(first.Err, errClosedWhileIdle)
	return result
}

// ask makes one exchange; the body of the answer is of no interest.
func ask(ctx context.Context, pool *Pool, req *call.Request) Result {
	result := pool.Do(ctx, req)
	if result.Answer != nil && result.Answer.Stream != nil {
		_ = result.Answer.Stream.Close() // closing ends the exchange; there is nothing to do about an error
	}
	return result
}

func answered(r Result) ProbeResult {
	return ProbeResult{Answered: true, State: r.State, Incarnation: r.Incarnation, Running: r.Running, Slots: r.Slots}
}

// silent reports whether an exchange ended because its time was over.
func silent(ctx context.Context, err error) bool {
	return ctx.Err() != nil || IsTimeout(err)
}
