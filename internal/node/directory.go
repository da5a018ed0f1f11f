package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/metric"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// directoryCapacity bounds the queued document changes; senders block while the queue is full.
const directoryCapacity = 16

// Documents is the configuration in force. It is immutable.
type Documents struct {
	Services map[string]*document.Service
	// Backends holds the servers of services whose document leaves the list of servers to the platform.
	Backends map[string][]document.Server
	Fleet    *document.Fleet
}

// servers returns the backend servers of a service.
func (d *Documents) servers(doc *document.Service) []document.Server {
	if doc.Servers.FoundIn == document.FoundInPlatform {
		return d.Backends[doc.Name]
	}
	return doc.Servers.List
}

// Entry is one service in the directory.
type Entry struct {
	Doc     *document.Service
	Task    *Service
	Metrics *metric.Service
}

// Directory is the task that starts and stops service tasks as documents are applied. It publishes an immutable map,
// so that requests look up their service without a message.
type Directory struct {
	self  balance.Location
	dial  backend.Dialer
	log   *slog.Logger
	inbox *task.Mailbox[applyRequest]
	// noKeepers is true if the services run without slot leases.
	noKeepers bool
	metrics   *metric.Set

	published atomic.Pointer[map[string]Entry]
	running   map[string]*runningService
	ended     chan string
	// docs are the last applied documents.
	docs *Documents
}

type runningService struct {
	entry Entry
	stop  context.CancelFunc
}

// NewDirectory returns an empty directory for an instance at the given location.
func NewDirectory(self balance.Location, dial backend.Dialer, log *slog.Logger) *Directory {
	d := &Directory{
		self: self, dial: dial, log: log, inbox: task.NewMailbox[applyRequest]("directory", directoryCapacity),
		running: map[string]*runningService{}, ended: make(chan string), metrics: metric.NewSet(),
	}
	d.published.Store(&map[string]Entry{})
	return d
}

// WithoutKeepers makes the services run without slot leases. It must be called before Run.
func (d *Directory) WithoutKeepers() *Directory {
	d.noKeepers = true
	return d
}

// WithMetrics makes the services count their requests in the set. It must be called before Run.
func (d *Directory) WithMetrics(set *metric.Set) *Directory {
	d.metrics = set
	return d
}

type applyRequest struct {
	docs  *Documents
	reply chan<- struct{}
}

// Apply applies documents and returns once requests see them.
func (d *Directory) Apply(ctx context.Context, docs *Documents) error {
	_, err := task.Ask(ctx, d.inbox, func(reply chan<- struct{}) applyRequest {
		return applyRequest{docs: docs, reply: reply}
	})
	return err
}

// Lookup returns a service by name.
func (d *Directory) Lookup(name string) (Entry, bool) {
	e, ok := (*d.published.Load())[name]
	return e, ok
}

// Entries returns all services. The map must not be modified.
func (d *Directory) Entries() map[string]Entry { return *d.published.Load() }

// Run is the task's main loop. It returns after the context and all service tasks have ended.
func (d *Directory) Run(ctx context.Context) error {
	runningTasks, stopping := 0, false
	done := ctx.Done()
	for !stopping || runningTasks > 0 {
		select {
		case m := <-d.inbox.C():
			if !stopping {
				runningTasks += d.apply(ctx, m.docs)
			}
			m.reply <- struct{}{}
		case <-d.ended:
			runningTasks--
		case <-done:
			done, stopping = nil, true
			d.stopAll()
		}
	}
	return nil
}

// apply starts, updates and stops service tasks, and returns the number of started ones.
func (d *Directory) apply(ctx context.Context, docs *Documents) int {
	started := 0
	for name, doc := range docs.Services {
		config := balance.FleetConfig{Service: doc, Servers: docs.servers(doc), Zones: docs.Fleet, Self: d.self, NoKeepers: d.noKeepers}
		if known, ok := d.running[name]; ok {
			if d.unchanged(name, docs) {
				continue
			}
			known.entry.Doc = doc
			known.entry.Task.inbox.SendUntil(known.entry.Task.ended, fleetConfigUpdate{config: config})
			continue
		}
		if d.start(ctx, config) {
			started++
		}
	}
	for name, known := range d.running {
		if docs.Services[name] == nil {
			known.stop()
			delete(d.running, name)
		}
	}
	d.docs = docs
	d.publish()
	return started
}

// unchanged reports whether the documents of a service are those that were applied last.
func (d *Directory) unchanged(name string, docs *Documents) bool {
	return d.docs != nil && d.docs.Fleet == docs.Fleet && d.docs.Services[name] == docs.Services[name] &&
		slices.Equal(d.docs.Backends[name], docs.Backends[name])
}

func (d *Directory) start(ctx context.Context, config balance.FleetConfig) bool {
	s, err := NewService(config, d.dial, d.log, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		d.log.Error("service cannot be started", "service", config.Service.Name, "error", err)
		return false
	}
	serviceCtx, stop := context.WithCancel(ctx)
	d.running[config.Service.Name] = &runningService{entry: Entry{Doc: config.Service, Task: s, Metrics: d.metrics.Service(config.Service.Name)}, stop: stop}
	go func() {
		_ = s.Run(serviceCtx) // Run always returns nil
		d.ended <- config.Service.Name
	}()
	return true
}

func (d *Directory) publish() {
	entries := make(map[string]Entry, len(d.running))
	for name, r := range d.running {
		entries[name] = r.entry
	}
	d.published.Store(&entries)
}

func (d *Directory) stopAll() {
	for _, r := range d.running {
		r.stop()
	}
	d.published.Store(&map[string]Entry{})
}
