package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/config"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// configCapacity is the mailbox size of the configuration task.
const configCapacity = 64

// Names of the metrics of the configuration task.
const (
	// MetricConfigApplied counts versions that came into force.
	MetricConfigApplied = "config.applied"
	// MetricConfigOlder counts versions that were lower than the one in force.
	MetricConfigOlder = "config.older"
	// MetricConfigRejected counts versions that were invalid.
	MetricConfigRejected = "config.rejected"
	// MetricConfigConflicts counts versions that were received with two different contents.
	MetricConfigConflicts = "config.conflicts"
	// MetricConfigFetches counts the requests for documents that were sent to peers.
	MetricConfigFetches = "config.fetches"
	// MetricConfigOverdue counts how often the configuration became older than a change may take to come into force.
	MetricConfigOverdue = "config.overdue"
)

// configKinds are the kinds of objects that make up the configuration.
var configKinds = []objectapi.Kind{objectapi.Fleet, objectapi.Services, objectapi.Backends}

// ConfigOptions are the dependencies of the configuration task.
type ConfigOptions struct {
	API   objectapi.API
	Peers peer.Caller
	// Sender returns the sender field of messages to peers.
	Sender  func() *peerpb.Sender
	Metrics metrics.Registry
	Log     *slog.Logger
	// Apply puts documents into force: Apply of Directory.
	Apply func(context.Context, *Documents) error
	// PublishVersion is called with the version of the configuration in force after each change: SetConfig of Gossip.
	PublishVersion func(member.ConfigVersion)
	// ApplyFleet is called with the fleet document after each change of it: ApplyFleet of Lifecycle.
	ApplyFleet func(*document.Fleet)
	// OnReady is called once, as soon as a complete configuration is in force: Configured of Lifecycle.
	OnReady func()
}

// Config is the task that decides which configuration is in force. It owns the documents, which it receives from watches
// of the object API and from peers.
type Config struct {
	options ConfigOptions
	set     *config.Set
	inbox   *task.Mailbox[any]
	status  atomic.Pointer[ConfigStatus]
	ended   chan struct{}

	sources *sources
	// watchers holds the watcher of each kind. historyLostAt is when the object API was last found to have dropped its history.
	watchers      map[objectapi.Kind]*watcher
	historyLostAt time.Time

	fetching bool
	version  member.ConfigVersion
	// dirty is true if a document or its status has changed since the last publish.
	dirty bool

	age      *configAge
	counters map[config.Verdict]metrics.Counter
	// fetches, overdue and ageGauge are the metrics of the same names.
	fetches, overdue metrics.Counter
	ageGauge         metrics.Gauge
}

// ConfigStatus is the status of the configuration at one instance, for operators. It is immutable.
type ConfigStatus struct {
	// Ready is true once a complete configuration is in force.
	Ready bool `json:"ready"`
	// Digest is a hash of the kinds, names and versions of all documents in force.
	Digest    uint64          `json:"digest"`
	Documents []config.Status `json:"documents"`
	// Unreadable holds, by kind, the error of the object API while it cannot be read.
	Unreadable map[string]string `json:"unreadable,omitempty"`
}

// Messages to the configuration task.
type (
	peerVersion struct {
		peer    string
		version member.ConfigVersion
	}
	fetchResult struct {
		peer   string
		digest uint64
		out    *peerpb.DocumentsReply
		err    error
	}
	documentsRequest struct {
		in    *peerpb.DocumentsRequest
		reply chan<- *peerpb.DocumentsReply
	}
)

// NewConfig returns the configuration task. Run starts it.
func NewConfig(options ConfigOptions) (*Config, error) {
	ch, err := charts.Load("document", nil)
	if err != nil {
		return nil, err
	}
	set, err := config.New(ch)
	if err != nil {
		return nil, err
	}
	c := &Config{
		options: options, set: set, inbox: task.NewMailbox[any]("configuration", configCapacity), ended: make(chan struct{}),
		sources: newSources(), watchers: map[objectapi.Kind]*watcher{}, dirty: true, fetches: metrics.GetOrRegisterCounter(MetricConfigFetches, options.Metrics),
		overdue: metrics.GetOrRegisterCounter(MetricConfigOverdue, options.Metrics), ageGauge: metrics.GetOrRegisterGauge(MetricConfigAge, options.Metrics),
		counters: map[config.Verdict]metrics.Counter{
			config.Applied:     metrics.GetOrRegisterCounter(MetricConfigApplied, options.Metrics),
			config.Deleted:     metrics.GetOrRegisterCounter(MetricConfigApplied, options.Metrics),
			config.Older:       metrics.GetOrRegisterCounter(MetricConfigOlder, options.Metrics),
			config.Rejected:    metrics.GetOrRegisterCounter(MetricConfigRejected, options.Metrics),
			config.Conflicting: metrics.GetOrRegisterCounter(MetricConfigConflicts, options.Metrics),
		},
	}
	c.status.Store(&ConfigStatus{})
	if c.age, err = newConfigAge(c); err != nil {
		return nil, err
	}
	return c, nil
}

// Status returns the current status of the configuration.
func (c *Config) Status() *ConfigStatus { return c.status.Load() }

// PeerVersion compares the version that a peer has in force with this instance's. The message is dropped if the mailbox
// is full; gossip repeats it.
func (c *Config) PeerVersion(name string, v member.ConfigVersion) {
	_ = c.inbox.Offer(peerVersion{peer: name, version: v})
}

// Handle handles the request of a peer for newer documents.
func (c *Config) Handle(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	reply := make(chan *peerpb.DocumentsReply, 1)
	if err := c.inbox.Offer(documentsRequest{in: in, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case out := <-reply:
		return out, nil
	case <-c.ended:
		return nil, fault.New(fault.Stopping, "ask another instance", "this instance is stopping")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Run is the body of the configuration task. It ends after the context, the watchers and the fetch in flight have ended.
func (c *Config) Run(ctx context.Context) error {
	defer close(c.ended)
	c.publish(ctx)
	watchers := task.NewGroup(ctx)
	for _, kind := range configKinds {
		w := newWatcher(c.options.API, kind, c.inbox, c.options.Log)
		c.watchers[kind] = w
		watchers.Go("watch "+string(kind), func(ctx context.Context) error { w.run(ctx); return nil })
	}
	ageChecks := time.NewTicker(ageCheckInterval)
	defer ageChecks.Stop()
	for ctx.Err() == nil {
		select {
		case m := <-c.inbox.C():
			c.handle(ctx, m)
			c.publish(ctx)
		case now := <-ageChecks.C:
			c.age.check(now)
		case <-ctx.Done():
		}
	}
	for c.fetching {
		if _, ok := (<-c.inbox.C()).(fetchResult); ok {
			c.fetching = false
		}
	}
	return watchers.Wait()
}

// lostHistoryInterval is the time within which lost histories of several kinds count as one event.
const lostHistoryInterval = 500 * time.Millisecond

// handleLostHistory makes the watchers of the other kinds list their objects again: an object API that has dropped the history
// of one kind may have dropped changes of others that their watches have not heard of.
func (c *Config) handleLostHistory(now time.Time, kind objectapi.Kind) {
	if now.Sub(c.historyLostAt) < lostHistoryInterval {
		return
	}
	c.historyLostAt = now
	for other, w := range c.watchers {
		if other != kind {
			w.listAgain()
		}
	}
}

func (c *Config) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case listResult:
		c.handleList(m)
	case changeEvent:
		c.handleChange(m)
	case readableEvent:
		c.sources.setReadable(m.kind)
		c.age.refresh(m.kind, m.asOf)
	case unreadableEvent:
		c.sources.setUnreadable(m.kind, m.err)
		if fault.Is(m.err, fault.TooOld) {
			c.handleLostHistory(time.Now(), m.kind)
		}
	case peerVersion:
		c.handlePeerVersion(ctx, m)
	case fetchResult:
		c.handleFetchResult(m)
	case documentsRequest:
		m.reply <- c.newerDocuments(m.in)
	}
}

// handleList offers every document of a list and deletes the documents that the list does not contain.
func (c *Config) handleList(m listResult) {
	names := make(map[string]bool, len(m.objects))
	for _, o := range m.objects {
		names[o.Name] = true
		c.offer(decodeObject(o))
	}
	if n := c.set.ApplyList(time.Now(), string(m.kind), m.version, names); n > 0 {
		c.counters[config.Deleted].Inc(int64(n))
		c.dirty = true
	}
	c.sources.setListed(m.kind)
}

func (c *Config) handleChange(m changeEvent) {
	if m.event.Deleted {
		o := m.event.Object
		c.offer(config.Offer{Key: config.Key{Kind: string(o.Kind), Name: o.Name}, Version: o.Version, Deleted: true})
	} else {
		c.offer(decodeObject(m.event.Object))
	}
	c.set.WatchProgressed(string(m.kind), m.event.Object.Version)
}

// offer offers a version of a document, and logs and counts the verdict.
func (c *Config) offer(o config.Offer) {
	verdict := c.set.Offer(time.Now(), o)
	if counter := c.counters[verdict]; counter != nil {
		counter.Inc(1)
	}
	switch verdict {
	case config.Repeated, config.Older:
		return
	case config.Rejected:
		c.options.Log.Error("document was rejected; the version in force stays", "kind", o.Kind, "name", o.Name, "version", o.Version, "error", o.Invalid)
	case config.Conflicting:
		c.options.Log.Error("document has two contents with the same version; the first one stays", "kind", o.Kind, "name", o.Name, "version", o.Version)
	default:
		c.options.Log.Info("document is in force", "kind", o.Kind, "name", o.Name, "version", o.Version, "deleted", o.Deleted)
	}
	c.dirty = true
}

// publish puts a changed configuration into force, updates the status and notifies the tasks that depend on it.
func (c *Config) publish(ctx context.Context) {
	status := c.status.Load()
	if c.dirty {
		docs, version := c.documents()
		c.apply(ctx, docs, version)
		status = &ConfigStatus{Ready: status.Ready, Digest: version.Digest, Documents: c.set.Status()}
		c.dirty = false
	}
	next := *status
	next.Ready = status.Ready || c.version.Fleet > 0 && c.sources.complete()
	next.Unreadable = c.sources.readErrors()
	c.status.Store(&next)
	if next.Ready && !status.Ready {
		c.options.OnReady()
	}
}

// apply passes documents to the directory. Until the fleet document, which assigns availability zones to regions, is in
// force, it passes none.
func (c *Config) apply(ctx context.Context, docs *Documents, version member.ConfigVersion) {
	if version == c.version {
		return // only rejections have changed
	}
	fleetChanged := version.Fleet != c.version.Fleet
	c.version = version
	if docs.Fleet != nil {
		if err := c.options.Apply(ctx, docs); err != nil {
			return // the context has ended
		}
		if fleetChanged {
			c.options.ApplyFleet(docs.Fleet)
		}
	}
	c.options.PublishVersion(version)
}

// documents returns the documents in force and their version.
func (c *Config) documents() (*Documents, member.ConfigVersion) {
	docs := &Documents{Services: map[string]*document.Service{}, Backends: map[string][]document.Server{}}
	version := member.ConfigVersion{Digest: c.set.Digest()}
	c.set.InForce(string(objectapi.Services), func(o *config.Offer) { docs.Services[o.Name] = o.Content.(*document.Service) })
	c.set.InForce(string(objectapi.Backends), func(o *config.Offer) { docs.Backends[o.Name] = o.Content.([]document.Server) })
	c.set.InForce(string(objectapi.Fleet), func(o *config.Offer) {
		docs.Fleet = o.Content.(*document.Fleet)
		version.Fleet = o.Version
	})
	return docs, version
}
