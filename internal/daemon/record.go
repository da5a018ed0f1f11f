package daemon

import (
	"fuchsiahub.example/fuchsiahub/internal/audit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// record puts a change of a backend server into the audit trail. A record that finds no room is lost and counted.
func (d *Daemon) record(service string, c balance.Change) {
	cause := "state " + c.From + ", event " + c.Event
	r := audit.Cold(service, c.Zone, c.Server, cause)
	if c.To == "ejected" {
		r = audit.Ejected(service, c.Zone, c.Server, cause)
	}
	if err := d.audit.Offer(r); err != nil {
		d.metrics.Count("audit.lost", 1)
	}
}
