package audit

import (
	"encoding/json"
	"slices"
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

const (
	// maxSegmentBytes bounds a segment, and also a write, because each append rewrites the whole segment.
	maxSegmentBytes = 32 << 10
	// ringSegments is the number of segments of a partition.
	ringSegments = 16
	// maxReadBytes bounds the size of a segment that is decoded, because other programs may write to the store.
	maxReadBytes = 4 * maxSegmentBytes
)

// segment is the value of one object of kind audit.
type segment struct {
	// Sequence numbers the segments of the partition; the index in the ring is Sequence modulo ringSegments.
	Sequence uint64 `json:"sequence"`
	// Dropped is the number of records of the partition that were dropped, including those of replaced segments.
	Dropped int      `json:"dropped"`
	Records []Record `json:"records"`
}

func (s segment) objectName(partition string) string {
	return partition + "-" + strconv.FormatUint(s.Sequence%ringSegments, 10)
}

func decodeSegment(name string, value []byte) (segment, error) {
	var s segment
	if len(value) > maxReadBytes || json.Unmarshal(value, &s) != nil {
		return segment{}, fault.New(fault.Invalid, "check which other program writes objects of kind audit", "audit segment %q is malformed", name)
	}
	return s, nil
}

// appendFitting appends records to the segment while they fit and returns how many it appended. An empty segment accepts
// at least one.
func (s *segment) appendFitting(records []Record) (int, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	size := len(value)
	for n, r := range records {
		text, err := json.Marshal(r)
		if err != nil {
			return n, err
		}
		if size += len(text) + 1; size > maxSegmentBytes && len(s.Records) > 0 {
			return n, nil
		}
		s.Records = append(slices.Clip(s.Records), r)
	}
	return len(records), nil
}

// missing returns the records that the segment does not contain.
func (s *segment) missing(records []Record) []Record {
	written := map[string]bool{}
	for _, r := range s.Records {
		written[r.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return written[r.ID] })
}
