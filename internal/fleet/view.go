package fleet

import (
	"strconv"
	"time"
)

// Backend is the entry of one backend server in the platform's store.
type Backend struct {
	// ID names one incarnation of the server, unless the server starts again under the id that it had.
	ID      string
	Service string
	Address string
	Place   Place
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// Draining is true when the server has announced that it leaves.
	Draining bool
	// ColdFor is how long the server stays cold, counted from when the entry was read; zero when it is warm.
	ColdFor time.Duration
	// Born is when the server started, in milliseconds of the Unix epoch; it tells two starts under one id apart.
	Born int64
	// Sequence counts the entries of one start.
	Sequence uint64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Incarnation names one start of the server.
func (b *Backend) Incarnation() string { return b.ID + "@" + strconv.FormatInt(b.Born, 10) }

// Instance is another process of this system.
type Instance struct {
	Name string
	// Address is where it answers peers.
	Address string
	Place   Place
	// Share is the part of a processor core that it has, times the speed of the core.
	Share float64
	// Incarnation differs for each start of the process.
	Incarnation uint64
}

// View is what an instance believes at one moment. It is never modified after it was published.
type View struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// Backends are the registered servers by service.
	Backends map[string][]*Backend
	// Evacuated holds the availability zones that get no new work.
	Evacuated map[string]bool
	// Instances are the known processes of this system, this one included.
	Instances []Instance
	// ConfigAsOf, BackendsAsOf and EvacuatedAsOf are when the store's answer behind the news was surely current, on the
	// local steady clock.
	ConfigAsOf, BackendsAsOf, EvacuatedAsOf time.Time
}

// Ready reports whether requests can be served with this view.
func (v *View) Ready() bool { return v != nil && v.Config != nil && len(v.Backends) > 0 }
