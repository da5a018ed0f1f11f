package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Result holds the measurements of the demo.
type Result struct {
	// warmUp and load are the tallies before and after the servers were warm.
	warmUp, load *tally
	// ranTwice counts once-only requests that ran more than once.
	ranTwice int
	// coldOverloads counts requests that failed because a backend server was cold.
	coldOverloads int
	// lastStartAfter is how long the availability zone that was taken out still got new requests.
	lastStartAfter time.Duration
	// afterDrain counts requests that started at a backend server after it first reported that it was draining.
	afterDrain int
}

func (r *Result) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...) // write errors, such as a closed pipe, are ignored
	}
	row("answered", "%d", r.warmUp.answered+r.load.answered)
	row("refused as not run", "%d", r.warmUp.notRun+r.load.notRun)
	row("outcome unknown", "%d", r.warmUp.unknown+r.load.unknown)
	row("once-only requests run twice", "%d", r.ranTwice)
	row("overloads of cold servers", "%d", r.coldOverloads)
	row("latency of lookups, p50", "%.2f ms", millis(r.load.elapsed.ValueAtPercentile(50)))
	row("latency of lookups, p99", "%.2f ms", millis(r.load.elapsed.ValueAtPercentile(99)))
	row("latency added to lookups, p50", "%.2f ms", millis(r.load.added.ValueAtPercentile(50)))
	row("latency added to lookups, p99", "%.2f ms", millis(r.load.added.ValueAtPercentile(99)))
	row("latency added to dispatches, p50", "%.2f ms", millis(r.load.addedOnce.ValueAtPercentile(50)))
	row("latency added to dispatches, p99", "%.2f ms", millis(r.load.addedOnce.ValueAtPercentile(99)))
	row("no new requests in the zone after", "%.1f s", r.lastStartAfter.Seconds())
	_ = w.Flush() // write errors are ignored, as above
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// check returns an error if a guarantee was violated.
func (r *Result) check() error {
	const remedy = "report this as a bug with the output of fuchsiahub demo --verbose"
	switch {
	case r.ranTwice > 0:
		return fault.New(fault.Internal, remedy, "%d once-only requests ran twice", r.ranTwice)
	case r.load.answered == 0:
		return fault.New(fault.Internal, remedy, "no request was answered")
	case r.lastStartAfter >= zoneWatchTime-200*time.Millisecond:
		return fault.New(fault.Internal, remedy, "the zone that was taken out of service still got new requests")
	}
	return nil
}
