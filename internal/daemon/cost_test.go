package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/frontend"
)

// cpuTime returns the CPU time that an exited process has used.
func (p *process) cpuTime() time.Duration {
	state := p.command.ProcessState
	return state.UserTime() + state.SystemTime()
}

// cpuTimeSoFar returns the CPU time that a running process has used so far, at a resolution of 10 ms.
func (p *process) cpuTimeSoFar(b *testing.B) time.Duration {
	b.Helper()
	const userTime, systemTime, ticks = 11, 12, 10 * time.Millisecond // fields and clock tick of proc(5), after the name
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, fields, _ := strings.Cut(string(text), ") ")
	list := strings.Fields(fields)
	user, _ := strconv.Atoi(list[userTime])
	system, _ := strconv.Atoi(list[systemTime])
	return time.Duration(user+system) * ticks
}

// stop terminates a process gracefully and waits for its exit.
func (p *process) stop(b *testing.B) {
	b.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		b.Fatal(err)
	}
	if err := <-p.exited; err != nil {
		b.Errorf("exit: %v", err)
	}
}

func (p *process) peakMegabytes() float64 {
	return float64(p.command.ProcessState.SysUsage().(*syscall.Rusage).Maxrss) / 1024
}

// counter returns the value of one metric from GET /metrics.
func (p *process) counter(b *testing.B, name string) float64 {
	b.Helper()
	resp, err := http.Get("http://" + p.addresses.Operations + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				b.Fatal(err)
			}
			return value
		}
	}
	b.Fatalf("no metric %s", name)
	return 0
}

// BenchmarkCallCPU reports the CPU time per call of an instance that runs in a separate process. Run it with
// -benchtime 30000x.
func BenchmarkCallCPU(b *testing.B) {
	s := startSite(b)
	p := startProcess(b, s.Address, "entry-1", "permian", "permian-a", "0s")
	await(b, "instance is ready", p.ready)
	const callers = 16
	work := make(chan int)
	ended := make(chan int, callers)
	for range callers {
		go func() { ended <- sendRequests(p.addresses.Callers, work) }()
	}
	b.ResetTimer()
	for i := range b.N {
		work <- i
	}
	close(work)
	answered := 0
	for range callers {
		answered += <-ended
	}
	b.StopTimer()
	p.stop(b)
	b.ReportMetric(float64(p.cpuTime().Microseconds())/float64(b.N), "cpu-us/call")
	b.ReportMetric(float64(answered)/float64(b.N), "answered/call")
	b.ReportMetric(p.peakMegabytes(), "peak-MB")
}

// sendRequests sends one request per number received from work and returns how many were answered.
func sendRequests(address string, work <-chan int) int {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	answered := 0
	for i := range work {
		req, err := http.NewRequest("GET", fmt.Sprintf("http://%s/reports/%d", address, i), nil)
		if err != nil {
			panic(err) // cannot happen: the address comes from a listener
		}
		req.Header.Set(frontend.HeaderService, "intake")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		// The connection is reused only after the body was read to its end.
		if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
			answered++
		}
		_ = resp.Body.Close()
	}
	return answered
}

// BenchmarkControl reports the control-plane cost of one of three idle instances: CPU time, memory and bytes sent to
// peers. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	const interval = 20 * time.Second
	for range b.N {
		s := startSite(b)
		fleet := startFleet(b, s, "0s")
		before := fleet[0].counter(b, "peer.sent_bytes")
		start, used := time.Now(), fleet[0].cpuTimeSoFar(b)
		time.Sleep(interval) // measurement interval of the rates
		sent := fleet[0].counter(b, "peer.sent_bytes") - before
		used = fleet[0].cpuTimeSoFar(b) - used
		seconds := time.Since(start).Seconds()
		for _, p := range fleet {
			p.stop(b)
		}
		b.ReportMetric(100*used.Seconds()/seconds, "cpu-%")
		b.ReportMetric(sent/seconds/1000, "sent-KB/s")
		b.ReportMetric(fleet[0].peakMegabytes(), "peak-MB")
	}
}
