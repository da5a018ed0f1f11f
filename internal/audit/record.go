package audit

import (
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// Action says what was changed.
type Action string

// Actions.
const (
	// DocumentChanged is a document that an operator applied.
	DocumentChanged Action = "document-changed"
	// ServerEjected is a backend server that gets no new work for a time.
	ServerEjected Action = "server-ejected"
	// ServerCold is a backend server that is presumed to start cold.
	ServerCold Action = "server-presumed-cold"
	// RequestQuarantined is a request that crashed backend servers and is refused.
	RequestQuarantined Action = "request-quarantined"
	// ZoneShifted is traffic that moved out of an availability zone or back.
	ZoneShifted Action = "zone-shifted"
	// OwnerMoved is a shard that got another keeper.
	OwnerMoved Action = "owner-moved"
)

// Record is one change.
type Record struct {
	// ID is unique; a record that was written twice is recognised by it.
	ID string `json:"id"`
	// Time is when the change happened, by the clock of the writer.
	Time time.Time `json:"time"`
	// By is the operator or the instance that made the change.
	By     string `json:"by"`
	Action Action `json:"action"`
	// Service, Zone and Server say what the change is about; empty when it is about none.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Server  string `json:"server,omitempty"`
	// Document is kind and name of a changed document; From and To are its versions. From zero means that it was new.
	Document string `json:"document,omitempty"`
	From     uint64 `json:"from,omitempty"`
	To       uint64 `json:"to,omitempty"`
	// Lines are the changed lines of the document, with "+" or "-" in front.
	Lines []string `json:"lines,omitempty"`
	// Cause says why the fleet made the change.
	Cause string `json:"cause,omitempty"`
}

const (
	// maxTextBytes bounds each text of a record.
	maxTextBytes = 200
	// maxLines bounds the line difference of a record.
	maxLines = 60
)

// bounded returns the record with its texts cut to their limits.
func (r Record) bounded() Record {
	for _, text := range []*string{&r.ID, &r.By, &r.Service, &r.Zone, &r.Server, &r.Document, &r.Cause} {
		*text = cut(*text)
	}
	if len(r.Lines) > maxLines {
		r.Lines = append(r.Lines[:maxLines:maxLines], "...")
	}
	lines := make([]string, len(r.Lines))
	for i, line := range r.Lines {
		lines[i] = cut(line)
	}
	r.Lines = lines
	return r
}

func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// Changed records that an operator changed a document. The version of the object before is zero when it is new.
func Changed(before, after objectapi.Object, by string, at time.Time) Record {
	name := string(after.Kind) + "/" + after.Name
	r := Record{
		ID: name + "-" + strconv.FormatUint(after.Version, 10), Time: at.UTC(), By: by, Action: DocumentChanged,
		Document: name, From: before.Version, To: after.Version, Lines: Difference(before.Value, after.Value),
	}
	if after.Kind == objectapi.Services || after.Kind == objectapi.Backends {
		r.Service = after.Name
	}
	return r.bounded()
}

// Ejected records that a backend server was ejected.
func Ejected(service, zone, server, cause string) Record {
	return Record{Action: ServerEjected, Service: service, Zone: zone, Server: server, Cause: cause}
}

// Cold records that a backend server is presumed to start cold.
func Cold(service, zone, server, cause string) Record {
	return Record{Action: ServerCold, Service: service, Zone: zone, Server: server, Cause: cause}
}

// Quarantined records that a request of a service was put in quarantine. The cause must not describe the request.
func Quarantined(service, cause string) Record {
	return Record{Action: RequestQuarantined, Service: service, Cause: cause}
}

// Shifted records that traffic moved out of an availability zone or back.
func Shifted(zone, cause string) Record {
	return Record{Action: ZoneShifted, Zone: zone, Cause: cause}
}

// Moved records that a shard got another keeper.
func Moved(service, zone, from, to, cause string) Record {
	return Record{Action: OwnerMoved, Service: service, Zone: zone, Cause: "from " + orNone(from) + " to " + orNone(to) + ": " + cause}
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
