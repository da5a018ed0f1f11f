package fleet

import (
	"strconv"
	"time"
)

// Backend is the entry of one backend server in the platform's store.
type Backend struct {
	// ID identifies the server. A restart usually gets a new ID, but may keep the old one; see StartedAtMs.
	ID      string
	Service string
	Address string
	Place   Place
	// Slots is the number of requests that the server can run concurrently.
	Slots int
	// Draining is true if the server has announced that it is shutting down.
	Draining bool
	// ColdFor is how long the server is still cold, counted from the time at which the entry was read; zero when it is warm.
	ColdFor time.Duration
	// StartedAtMs is the start time of the server in milliseconds since the Unix epoch. It distinguishes two starts with
	// the same ID.
	StartedAtMs int64
	// Sequence numbers the entries that the server wrote since its start.
	Sequence uint64
	// Revision is the revision of the entry in the store, and Era the era of the store in which it has it.
	Revision, Era uint64
}

// Incarnation identifies one start of the server.
func (b *Backend) Incarnation() string { return b.ID + "@" + strconv.FormatInt(b.StartedAtMs, 10) }

// Instance is the entry of an instance in the platform's store.
type Instance struct {
	Name string
	// Address is the address for peers.
	Address string
	Place   Place
	// CPUShare is the fraction of a processor core that the instance has, times the speed of the core.
	CPUShare float64
	// Incarnation is different for each start of the instance.
	Incarnation uint64
}

// View is an instance's view of its deployment at one time. It is immutable once published.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// Backends are the registered servers by service.
	Backends map[string][]*Backend
	// EvacuatedZones holds the availability zones that are taken out and get no new requests.
	EvacuatedZones map[string]bool
	// Instances are the known instances, including this one.
	Instances []Instance
	// ConfigAsOf, BackendsAsOf and EvacuatedAsOf are the times, on the local monotonic clock, at which the data was surely
	// current in the store.
	ConfigAsOf, BackendsAsOf, EvacuatedAsOf time.Time
	// MaxConfigAge is the age of the configuration above which a confirmed change may be missing, such as a new route.
	MaxConfigAge time.Duration
}

// Ready reports whether requests can be served with this view.
func (v *View) Ready() bool { return v != nil && v.Config != nil && len(v.Backends) > 0 }
