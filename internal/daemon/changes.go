package daemon

import (
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/audit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
)

// serverActions maps the states of charts/backend.toml that are recorded in the audit trail to their audit actions.
var serverActions = map[string]audit.Action{
	"ejected": audit.ServerEjected,
	"cold":    audit.ServerPresumedCold,
}

// causes maps events of charts/backend.toml and charts/zone.toml to the explanations that audit records store.
var causes = map[string]string{
	"answer_bad":   "several requests in a row failed at the server",
	"presume_cold": "the server refused or broke a connection, reported a new start, or another instance saw one of these",
	"shed":         "the server refused work while it was warming up",
	"token":        "the server is new or was not seen before",
	"ready":        "the server that was leaving takes work again",
	"take_out":     "operators took the availability zone out",
	"bring_in":     "operators brought the availability zone back",
	"quiet":        "the shift of the availability zone's work is over",
	"returned":     "the availability zone has its full share again",
}

// handleStateChange logs a state change of a server or zone. Only the keeper of the shard also records it in the audit
// trail, so that the trail contains it once.
func (d *Daemon) handleStateChange(service string, c balance.Change) {
	d.log.Debug("state changed", "service", service, "zone", c.Zone, "server", c.Server, "from", c.From, "event", c.Event, "to", c.To)
	if d.keeper.Owners()[keeper.Key{Service: service, Zone: c.Zone}] != d.self.Name {
		return
	}
	action, recorded := serverActions[c.To]
	if c.From == "unknown" {
		recorded = false // the first observation of a server is not a change
	}
	if c.Server == "" {
		action, recorded = audit.ZoneShifted, true
	}
	if !recorded {
		return
	}
	d.recordChange(audit.Record{Action: action, Service: service, Zone: c.Zone, Server: c.Server, Cause: causeText(c)})
}

// causeText returns the text that explains a state change in the audit trail.
func causeText(c balance.Change) string {
	text, ok := causes[c.Event]
	if !ok {
		text = c.Event
	}
	return c.From + " to " + c.To + ": " + text
}

// recordChange adds a change to the audit trail, which drops records when its mailbox is full.
func (d *Daemon) recordChange(r audit.Record) {
	if err := d.audit.Offer(r); err != nil {
		d.log.Warn("change not recorded in the audit trail", "action", r.Action, "service", r.Service, "zone", r.Zone, "error", err)
	}
}

// recordShardTaken records that this instance has become the keeper of a shard.
func (d *Daemon) recordShardTaken(key keeper.Key, epoch uint64) {
	d.recordChange(audit.Record{
		Action: audit.OwnerMoved, Service: key.Service, Zone: key.Zone,
		Cause: "the shard had no keeper, or its keeper left or lost its session; epoch " + strconv.FormatUint(epoch, 10),
	})
}

// recordQuarantine records that a request was quarantined. The record contains no fingerprint, because the audit trail may
// be read in any region.
func (d *Daemon) recordQuarantine() {
	d.recordChange(audit.Record{Action: audit.RequestQuarantined, Cause: "backend servers crashed twice while a request with the same fingerprint ran"})
}
