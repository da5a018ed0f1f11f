package lab

import (
	"fmt"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Deployment describes a deployment of section 1.3 of the design, reduced to one service.
type Deployment struct {
	Name      string
	Regions   []document.Region
	Servers   int
	Slots     int
	Instances int
	// ZoneDelay and RegionDelay are the one-way network delays between zones of a region and between regions.
	ZoneDelay, RegionDelay time.Duration
	// ServiceTime is the mean service time of a request at a warm server.
	ServiceTime time.Duration
}

// localDelay is the one-way network delay inside an availability zone.
const localDelay = 100 * time.Microsecond

// Deployments returns all deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "pecos", Servers: 15, Slots: 6, Instances: 15,
			Regions:   regions("permian", "permian-a", "permian-b", "gulf", "gulf-a", "gulf-b", "hill-country", "hill-a", "hill-b"),
			ZoneDelay: 500 * time.Microsecond, RegionDelay: 8 * time.Millisecond, ServiceTime: 20 * time.Millisecond,
		},
		{
			Name: "pretha", Servers: 13, Slots: 3, Instances: 15,
			Regions:   regions("malabar", "malabar-a", "malabar-b", "kochi", "kochi-a", "kochi-b", "travancore", "travancore-a", "travancore-b"),
			ZoneDelay: 1400 * time.Microsecond, RegionDelay: 8 * time.Millisecond, ServiceTime: 20 * time.Millisecond,
		},
	}
}

// regions builds regions from a list of names: each region is followed by its two zones.
func regions(names ...string) []document.Region {
	var list []document.Region
	for i := 0; i+2 < len(names); i += 3 {
		list = append(list, document.Region{Name: names[i], Zones: names[i+1 : i+3]})
	}
	return list
}

func (d Deployment) zones() []string {
	var zones []string
	for _, r := range d.Regions {
		zones = append(zones, r.Zones...)
	}
	return zones
}

// fleetDocument returns the fleet document with the given zones taken out.
func (d Deployment) fleetDocument(out ...string) *document.Fleet {
	return &document.Fleet{Name: d.Name, Regions: d.Regions, ZonesOut: out}
}

// serviceDocument returns the service document, with the servers distributed over the zones.
func (d Deployment) serviceDocument() *document.Service {
	doc := &document.Service{
		Name: "service", Owner: "lab", Servers: document.Servers{Slots: d.Slots},
		Retry:  document.Retry{Attempts: document.DefaultAttempts, Budget: document.DefaultRetryBudget},
		Hedge:  document.Hedge{Percentile: document.DefaultHedgePercentile, Budget: document.DefaultHedgeBudget},
		Routes: []document.Route{{Name: "all", Path: "/*", Idempotent: true}},
	}
	zones := d.zones()
	for i := range d.Servers {
		doc.Servers.List = append(doc.Servers.List, document.Server{
			Name: fmt.Sprintf("server-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: zones[i%len(zones)],
		})
	}
	doc.ApplyDefaults()
	return doc
}

// networkDelay returns the one-way network delay between two zones.
func (d Deployment) networkDelay(a, b string) time.Duration {
	fleet := d.fleetDocument()
	switch {
	case a == b:
		return localDelay
	case fleet.RegionOf(a) == fleet.RegionOf(b):
		return d.ZoneDelay
	}
	return d.RegionDelay
}

// capacity returns the number of requests per second that warm servers with this many slots can handle.
func (d Deployment) capacity(slots int) float64 { return float64(slots) / d.ServiceTime.Seconds() }
