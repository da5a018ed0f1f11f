package instanceobject

import (
	"encoding/json"
	"net/netip"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// States of an instance in the platform's list.
const (
	Live    = "live"
	Leaving = "leaving"
)

// maxRecordBytes bounds a record. A record has about 200 bytes.
const maxRecordBytes = 4096

// Record is the value of one object. The name of the object is the name of the instance.
type Record struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// PeerAddress and OperationsAddress are IP addresses with ports.
	PeerAddress       string `json:"peer_address"`
	OperationsAddress string `json:"operations_address"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// Read decodes and checks the value of an object. The source appears in errors.
func Read(source string, value []byte) (Record, error) {
	var r Record
	if len(value) > maxRecordBytes {
		return Record{}, invalid(source, "record is larger than 4096 bytes")
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, invalid(source, "record is not valid JSON")
	}
	return r, r.check(source)
}

// Write encodes a record.
func (r Record) Write() ([]byte, error) { return json.Marshal(r) }

func (r Record) check(source string) error {
	switch {
	case r.Region == "" || r.Zone == "":
		return invalid(source, "region or zone is missing")
	case r.State != Live && r.State != Leaving:
		return invalid(source, "state is neither \"live\" nor \"leaving\"")
	}
	for _, address := range []string{r.PeerAddress, r.OperationsAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return invalid(source, "an address is not an IP address with a port")
		}
	}
	return nil
}

func invalid(source, message string) error {
	return fault.New(fault.Invalid, "check what else writes objects of kind instances", "%s: %s", source, message)
}
