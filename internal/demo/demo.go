package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/examples"
	"fuchsiahub.example/fuchsiahub/internal/daemon"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/settings"
	"fuchsiahub.example/fuchsiahub/internal/standin/backend"
	"fuchsiahub.example/fuchsiahub/internal/standin/site"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// maxDuration is the maximum duration of the demo.
	maxDuration = 30 * time.Second
	// stepInterval is how long the load runs between two steps of the demo.
	stepInterval = 2 * time.Second
	// warmUpTime is how long the load runs before latency is measured, because cold servers handle one request at a time.
	warmUpTime = 5 * time.Second
	// median is the median service time of a stand-in backend server.
	median = 5 * time.Millisecond
	// zoneTakenOut is the availability zone that the demo takes out of service and brings back.
	zoneTakenOut = "permian-b"
	// zoneWatchTime is how long the demo watches the zone that was taken out for new requests.
	zoneWatchTime = 5 * time.Second
)

// locations lists the regions and zones of the instances: three zones in two regions.
var locations = []struct{ region, zone string }{{"permian", "permian-a"}, {"permian", "permian-b"}, {"gulf", "gulf-a"}}

// demo is the state of one run.
type demo struct {
	out       io.Writer
	log       *slog.Logger
	site      *site.Site
	group     *task.Group
	instances []*instance
	result    Result
}

type instance struct {
	*daemon.Daemon
	stop  context.CancelFunc
	ended chan error
}

// Run runs the demo and prints its steps and a table of results. It returns an error if a guarantee was violated.
func Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	d := &demo{out: out, log: log, group: task.NewGroup(context.WithoutCancel(ctx))}
	err := d.runSteps(ctx)
	d.stopAll()
	d.group.Stop()
	if failed := d.group.Wait(); err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	d.result.print(out)
	return d.result.check()
}

func (d *demo) runSteps(ctx context.Context) error {
	if err := d.startSite(); err != nil {
		return err
	}
	if err := d.startFleet(ctx); err != nil {
		return err
	}
	warmUp := startLoad(ctx, "warm-up", d.callerAddresses())
	err := pauseFor(warmUpTime)(ctx)
	d.result.warmUp = warmUp.stop()
	if err != nil {
		return err
	}
	d.printf("all backend servers started cold; %d requests warmed them up", d.result.warmUp.answered)
	load := startLoad(ctx, "load", d.callerAddresses())
	for _, step := range []func(context.Context) error{
		pauseFor(stepInterval), d.takeZoneOut, pauseFor(stepInterval), d.bringZoneIn,
		pauseFor(stepInterval), d.stopServer, pauseFor(stepInterval),
		func(ctx context.Context) error { return d.stopInstance(ctx) }, pauseFor(stepInterval),
	} {
		if err := step(ctx); err != nil {
			load.stop()
			return err
		}
	}
	d.result.load = load.stop()
	return d.collectReports(ctx)
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...) // write errors, such as a closed pipe, are ignored
}

func (d *demo) startSite() error {
	files, err := fs.Sub(examples.Files, "pecos")
	if err != nil {
		return err
	}
	d.site, err = site.Start(d.group, files, site.Options{
		Services: []string{"intake", "atlas"}, Median: median, Spread: 0.5, Seed: 1, WarmUp: 5,
	})
	if err != nil {
		return err
	}
	d.printf("started the object API and %d backend servers", len(d.site.Servers))
	return nil
}

func (d *demo) startFleet(ctx context.Context) error {
	for i, location := range locations {
		if err := d.startInstance(fmt.Sprintf("entry-%d", i+1), location.region, location.zone); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := waitReady(ctx, i.Addresses().Operations); err != nil {
			return err
		}
	}
	d.printf("started %d instances in different availability zones", len(d.instances))
	return nil
}

func (d *demo) startInstance(name, region, zone string) error {
	text := fmt.Sprintf(settingsFormat, name, region, zone, d.site.Address)
	s, err := settings.Read(name, []byte(text))
	if err != nil {
		return err
	}
	built, err := daemon.New(s, d.log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{Daemon: built, stop: stop, ended: make(chan error, 1)}
	d.instances = append(d.instances, i)
	go func() { i.ended <- i.Run(ctx) }()
	return nil
}

// settingsFormat is a format for the name, the region, the zone and the address of the object API.
const settingsFormat = `instance = %q
region = %q
zone = %q
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
operations_address = "127.0.0.1:0"
[platform]
address = %q
[drain]
announce = "1s"
limit = "10s"
[claims]
key = "000102030405060708090a0b0c0d0e0f"
`

func (d *demo) callerAddresses() []string {
	var list []string
	for _, i := range d.instances {
		list = append(list, i.Addresses().Callers)
	}
	return list
}

// takeZoneOut edits the fleet document, as an operator does, and measures how long the zone still gets new requests.
func (d *demo) takeZoneOut(ctx context.Context) error {
	start := time.Now()
	if err := d.editFleet(ctx, []string{zoneTakenOut}); err != nil {
		return err
	}
	lastStart, err := d.lastRequestStart(ctx, start)
	d.result.lastStartAfter = lastStart
	d.printf("took availability zone %s out of service: its last new request started %.1f s later", zoneTakenOut, lastStart.Seconds())
	return err
}

func (d *demo) bringZoneIn(ctx context.Context) error {
	d.printf("brought availability zone %s back into service", zoneTakenOut)
	return d.editFleet(ctx, nil)
}

func (d *demo) editFleet(ctx context.Context, out []string) error {
	object, err := d.site.Store.Get(ctx, objectapi.Fleet, document.FleetName)
	if err != nil {
		return err
	}
	doc, err := docfile.ReadFleet("fleet", object.Value)
	if err != nil {
		return err
	}
	doc.ZonesOut = out
	text, err := docfile.WriteFleet(doc)
	if err != nil {
		return err
	}
	_, err = d.site.Store.Update(ctx, objectapi.Fleet, document.FleetName, object.Version, text)
	return err
}

// lastRequestStart watches the zone for zoneWatchTime and returns the time from start to the last new request of the zone.
func (d *demo) lastRequestStart(ctx context.Context, start time.Time) (time.Duration, error) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	last, previous := time.Duration(0), -1
	for time.Since(start) < zoneWatchTime {
		started, err := d.startedRequests(ctx, zoneTakenOut)
		if err != nil {
			return 0, err
		}
		if started != previous {
			last, previous = time.Since(start), started
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return last, nil
}

func (d *demo) startedRequests(ctx context.Context, zone string) (int, error) {
	sum := 0
	for _, s := range d.site.Servers {
		if s.Zone != zone {
			continue
		}
		report, err := s.Report(ctx)
		if err != nil {
			return 0, err
		}
		sum += report.Started
	}
	return sum, nil
}

// stopServer drains one backend server: the server reports on its answers that it is draining, and stops after
// stepInterval.
func (d *demo) stopServer(ctx context.Context) error {
	server := d.site.Servers[0]
	if err := server.Set(ctx, backend.Switches{Draining: true}); err != nil {
		return err
	}
	if err := pauseFor(stepInterval)(ctx); err != nil {
		return err
	}
	report, err := d.site.StopServer(ctx, server)
	if err != nil {
		return err
	}
	d.result.afterDrain = report.StartedDraining
	d.printf("backend server %s was drained and stopped: %d requests started there after it first reported that it was draining", server.Name, report.StartedDraining)
	return nil
}

// stopInstance stops one instance gracefully while callers still send requests to it.
func (d *demo) stopInstance(ctx context.Context) error {
	last := d.instances[len(d.instances)-1]
	start := time.Now()
	last.stop()
	select {
	case err := <-last.ended:
		d.instances = d.instances[:len(d.instances)-1]
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, "run the demo on a machine with less load", "an instance did not stop before the end of the demo")
	}
	d.printf("one instance stopped gracefully in %.1f s", time.Since(start).Seconds())
	return nil
}

func (d *demo) collectReports(ctx context.Context) error {
	twice, err := d.site.RunTwice(ctx)
	if err != nil {
		return err
	}
	reports, err := d.site.Reports(ctx)
	if err != nil {
		return err
	}
	d.result.ranTwice = twice
	for _, r := range reports {
		d.result.coldOverloads += r.ColdOverloads
	}
	return nil
}

func (d *demo) stopAll() {
	for _, i := range d.instances {
		i.stop()
	}
	for _, i := range d.instances {
		if err := <-i.ended; err != nil {
			d.log.Warn("instance stopped with an error", "error", err)
		}
	}
}

func pauseFor(length time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		task.Pause(ctx, length)
		return ctx.Err()
	}
}
