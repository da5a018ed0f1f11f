package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/standin/backend"
)

const (
	// callers is the number of concurrent callers, and interval the time between two requests of one caller.
	callers  = 12
	interval = 20 * time.Millisecond
	// maxLatencyMicros is the largest value of the histograms, in microseconds.
	maxLatencyMicros = 60_000_000
)

// tally counts the outcomes of requests and holds their latencies, as callers see them.
type tally struct {
	answered, notRun, unknown, other int
	// elapsed holds the latencies of lookups in microseconds. Added and addedOnce hold latencies without the service time
	// at the backend server, of lookups and of once-only dispatches, which wait for their claim.
	elapsed, added, addedOnce *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{elapsed: newHistogram(), added: newHistogram(), addedOnce: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

func (t *tally) merge(other *tally) {
	t.answered += other.answered
	t.notRun += other.notRun
	t.unknown += other.unknown
	t.other += other.other
	t.elapsed.Merge(other.elapsed)
	t.added.Merge(other.added)
	t.addedOnce.Merge(other.addedOnce)
}

// load is a running set of callers.
type load struct {
	cancel context.CancelFunc
	ended  chan *tally
}

// startLoad starts the callers. The name is part of the idempotency keys, so that they differ between loads.
func startLoad(ctx context.Context, name string, addresses []string) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel, ended: make(chan *tally, callers)}
	for c := range callers {
		caller := &caller{load: name, number: c, addresses: addresses, client: &http.Client{Transport: &http.Transport{}}, tally: newTally()}
		go func() { l.ended <- caller.run(ctx) }()
	}
	return l
}

// stop ends the load and returns the tally of all callers.
func (l *load) stop() *tally {
	l.cancel()
	sum := newTally()
	for range callers {
		sum.merge(<-l.ended)
	}
	return sum
}

// caller sends one request at a time.
type caller struct {
	load      string
	number    int
	addresses []string
	client    *http.Client
	tally     *tally
	sent      int
}

func (c *caller) run(ctx context.Context) *tally {
	defer c.client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.send()
		case <-ctx.Done():
			return c.tally
		}
	}
}

// send sends a request. If the request did not run, send retries it at the other instances, as callers behind the
// platform's balancer do.
func (c *caller) send() {
	c.sent++
	key := fmt.Sprintf("%s-%d-%d", c.load, c.number, c.sent)
	for try := range c.addresses {
		address := c.addresses[(c.number+c.sent+try)%len(c.addresses)]
		retry := c.attempt(address, key)
		if !retry {
			return
		}
	}
	c.tally.notRun++
}

// attempt sends a request to one instance and reports whether it should be retried at another.
func (c *caller) attempt(address, key string) (retry bool) {
	start := time.Now()
	resp, err := c.client.Do(c.request(address, key))
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return true
		}
		c.tally.unknown++
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.tally.unknown++
		return false
	}
	return c.countOutcome(resp, time.Since(start))
}

func (c *caller) countOutcome(resp *http.Response, elapsed time.Duration) (retry bool) {
	switch {
	case resp.StatusCode == http.StatusOK:
		c.tally.answered++
		c.record(resp, elapsed)
	case resp.Header.Get(frontend.HeaderOutcome) == "not-run":
		return true
	case resp.Header.Get(frontend.HeaderOutcome) == "unknown":
		c.tally.unknown++
	default:
		c.tally.other++
	}
	return false
}

// record adds the latency of an answer. Values above maxLatencyMicros cannot occur, because the demo is shorter.
func (c *caller) record(resp *http.Response, elapsed time.Duration) {
	serviceMicros, err := strconv.ParseInt(resp.Header.Get(backend.HeaderRan), 10, 64)
	if err != nil {
		return
	}
	added := max(1, elapsed.Microseconds()-serviceMicros)
	if resp.Request.Method == http.MethodPost {
		_ = c.tally.addedOnce.RecordValue(added)
		return
	}
	_ = c.tally.elapsed.RecordValue(elapsed.Microseconds())
	_ = c.tally.added.RecordValue(added)
}

// request returns a once-only dispatch for every fifth request and a lookup otherwise.
func (c *caller) request(address, key string) *http.Request {
	method, path, service := http.MethodGet, "/meters/"+key, "atlas"
	if c.sent%5 == 0 {
		method, path, service = http.MethodPost, "/dispatches", "intake"
	}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(key))
	if err != nil {
		panic(err) // the parts are always valid
	}
	req.Header.Set(frontend.HeaderService, service)
	if method == http.MethodPost {
		req.Header.Set("Idempotency-Key", key)
	}
	return req
}

// waitReady polls the readiness of an instance.
func waitReady(ctx context.Context, operations string) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		resp, err := http.Get("http://" + operations + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, "read the log of the instances with --verbose", "instance at %s did not become ready", operations)
		}
	}
}
