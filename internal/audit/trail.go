package audit

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	partitions = 16
	// maxAppendAttempts bounds the writes of one append. A conflict means that another writer has appended to the partition.
	maxAppendAttempts = 8
)

// InstancePartitions and OperatorPartitions are the sets of partitions, as prefixes of object names.
const (
	InstancePartitions = "fleet"
	OperatorPartitions = "operators"
)

// Trail appends records to one partition. It is owned by one task.
type Trail struct {
	api       objectapi.API
	partition string
	// head is the segment to which records are appended, and version that of its object, or zero when the object does not
	// exist. Both are valid while headKnown is true.
	head      segment
	version   uint64
	headKnown bool
}

// NewTrail returns the trail of a writer. Writers with the same name share a partition.
func NewTrail(api objectapi.API, set, writer string) *Trail {
	h := fnv.New32a()
	_, _ = h.Write([]byte(writer)) // a hash never fails
	return &Trail{api: api, partition: set + "-" + strconv.Itoa(int(h.Sum32()%partitions))}
}

// Append writes records and adds dropped to the count of dropped records. It returns how many of the records were written;
// the error explains why the others were not.
func (t *Trail) Append(ctx context.Context, records []Record, dropped int) (int, error) {
	remaining := records
	for range maxAppendAttempts {
		if err := t.findHead(ctx); err != nil {
			return len(records) - len(remaining), err
		}
		remaining = t.head.missing(remaining)
		if len(remaining) == 0 {
			return len(records), nil
		}
		appended, err := t.appendToHead(ctx, remaining, dropped)
		switch {
		case err == nil:
			dropped = 0
			if remaining = remaining[appended:]; len(remaining) == 0 {
				return len(records), nil
			}
			t.startSegment()
		case fault.Is(err, fault.Conflict), fault.Is(err, fault.AmbiguousWrite), fault.Is(err, fault.NotFound):
			t.headKnown = false
		default:
			return len(records) - len(remaining), err
		}
	}
	return len(records) - len(remaining), fault.New(fault.Conflict, "try again later", "too many concurrent writers of audit partition %q", t.partition)
}

// appendToHead appends to the head the records that fit and returns how many it appended.
func (t *Trail) appendToHead(ctx context.Context, records []Record, dropped int) (int, error) {
	head := t.head
	head.Dropped += dropped
	appended, err := head.appendFitting(records)
	if err != nil || appended == 0 {
		return 0, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return 0, err
	}
	object, err := t.writeHead(ctx, head, value)
	if err != nil {
		return 0, err
	}
	t.head, t.version = head, object.Version
	return appended, nil
}

// writeHead creates or updates the object of the head.
func (t *Trail) writeHead(ctx context.Context, head segment, value []byte) (objectapi.Object, error) {
	if t.version == 0 {
		return t.api.Create(ctx, objectapi.Audit, head.objectName(t.partition), value)
	}
	return t.api.Update(ctx, objectapi.Audit, head.objectName(t.partition), t.version, value)
}

// startSegment starts a segment at the next index of the ring. The segment that it replaces is read first, to count its
// records as dropped.
func (t *Trail) startSegment() {
	t.head = segment{Sequence: t.head.Sequence + 1, Dropped: t.head.Dropped}
	t.headKnown = false
}

// findHead reads the segments of the partition to determine the head, unless it is known.
func (t *Trail) findHead(ctx context.Context) error {
	if t.headKnown {
		return nil
	}
	newSegment := t.head
	t.head, t.version = segment{}, 0
	versions := [ringSegments]uint64{}
	counts := [ringSegments]int{}
	for index := range ringSegments {
		s, version, err := t.readSegment(ctx, index)
		if err != nil {
			return err
		}
		versions[index], counts[index] = version, len(s.Records)
		if version != 0 && (t.version == 0 || s.Sequence > t.head.Sequence) {
			t.head, t.version = s, version
		}
	}
	// A segment that startSegment has started becomes the head. The records of the segment that it replaces count as
	// dropped.
	if newSegment.Sequence == t.head.Sequence+1 && len(newSegment.Records) == 0 {
		index := newSegment.Sequence % ringSegments
		t.head = segment{Sequence: newSegment.Sequence, Dropped: t.head.Dropped + counts[index]}
		t.version = versions[index]
	}
	t.headKnown = true
	return nil
}

// readSegment returns a segment and its version. A malformed segment counts as empty, so that it is replaced like any other.
func (t *Trail) readSegment(ctx context.Context, index int) (segment, uint64, error) {
	name := t.partition + "-" + strconv.Itoa(index)
	object, err := t.api.Get(ctx, objectapi.Audit, name)
	if fault.Is(err, fault.NotFound) {
		return segment{}, 0, nil
	}
	if err != nil {
		return segment{}, 0, err
	}
	s, err := decodeSegment(name, object.Value)
	if err != nil {
		return segment{Sequence: uint64(index)}, object.Version, nil
	}
	return s, object.Version, nil
}
