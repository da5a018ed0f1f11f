package audit

import (
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// Action is the kind of a change.
type Action string

// Actions of records, as they are stored.
const (
	// DocumentChanged means that an operator applied a document.
	DocumentChanged Action = "document-changed"
	// ServerEjected means that a backend server gets no new requests for a time.
	ServerEjected Action = "server-ejected"
	// ServerPresumedCold means that a backend server is presumed to have restarted and to be cold.
	ServerPresumedCold Action = "server-presumed-cold"
	// RequestQuarantined means that a request is refused because it crashed backend servers.
	RequestQuarantined Action = "request-quarantined"
	// ZoneShifted means that traffic was moved out of an availability zone or back.
	ZoneShifted Action = "zone-shifted"
	// OwnerMoved means that a shard got another keeper.
	OwnerMoved Action = "owner-moved"
)

// Record describes one change.
type Record struct {
	// ID is unique, so that a record is not appended twice when a write is repeated.
	ID string `json:"id"`
	// Time is the time of the change by the clock of the writer.
	Time time.Time `json:"time"`
	// By is the name of the operator or instance that made the change.
	By     string `json:"by"`
	Action Action `json:"action"`
	// Service, Zone and Server identify the changed object. A field that does not apply is empty.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Server  string `json:"server,omitempty"`
	// Document is the kind and name of a changed document; From and To are its versions. From is zero for a new document.
	Document string `json:"document,omitempty"`
	From     uint64 `json:"from,omitempty"`
	To       uint64 `json:"to,omitempty"`
	// Lines are the changed lines of the document, with "+" or "-" in front.
	Lines []string `json:"lines,omitempty"`
	// Cause explains why the fleet made the change.
	Cause string `json:"cause,omitempty"`
}

const (
	// maxTextBytes bounds each text of a record.
	maxTextBytes = 200
	// maxLines bounds the number of changed lines in a record.
	maxLines = 60
)

// truncated returns the record with its texts and lines shortened to their limits.
func (r Record) truncated() Record {
	for _, text := range []*string{&r.ID, &r.By, &r.Service, &r.Zone, &r.Server, &r.Document, &r.Cause} {
		*text = truncate(*text)
	}
	if len(r.Lines) > maxLines {
		r.Lines = append(r.Lines[:maxLines:maxLines], "...")
	}
	lines := make([]string, len(r.Lines))
	for i, line := range r.Lines {
		lines[i] = truncate(line)
	}
	r.Lines = lines
	return r
}

// truncate shortens a text to maxTextBytes without splitting a UTF-8 sequence.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// DocumentChangedRecord returns the record of a document that an operator changed. The version of the
// previous object is zero when the document is new.
func DocumentChangedRecord(before, after objectapi.Object, by string, at time.Time) Record {
	name := string(after.Kind) + "/" + after.Name
	r := Record{
		ID: name + "-" + strconv.FormatUint(after.Version, 10), Time: at.UTC(), By: by, Action: DocumentChanged,
		Document: name, From: before.Version, To: after.Version, Lines: Difference(before.Value, after.Value),
	}
	if after.Kind == objectapi.Services || after.Kind == objectapi.Backends {
		r.Service = after.Name
	}
	return r.truncated()
}

// EjectedRecord returns the record of a backend server that was ejected.
func EjectedRecord(service, zone, server, cause string) Record {
	return Record{Action: ServerEjected, Service: service, Zone: zone, Server: server, Cause: cause}
}

// ColdRecord returns the record of a backend server that is presumed cold.
func ColdRecord(service, zone, server, cause string) Record {
	return Record{Action: ServerPresumedCold, Service: service, Zone: zone, Server: server, Cause: cause}
}

// QuarantinedRecord returns the record of a request that was quarantined. The cause must not describe the request.
func QuarantinedRecord(service, cause string) Record {
	return Record{Action: RequestQuarantined, Service: service, Cause: cause}
}

// ShiftedRecord returns the record of traffic that was moved out of an availability zone or back.
func ShiftedRecord(zone, cause string) Record {
	return Record{Action: ZoneShifted, Zone: zone, Cause: cause}
}

// MovedRecord returns the record of a shard that got another keeper.
func MovedRecord(service, zone, from, to, cause string) Record {
	return Record{Action: OwnerMoved, Service: service, Zone: zone, Cause: "from " + orNone(from) + " to " + orNone(to) + ": " + cause}
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
