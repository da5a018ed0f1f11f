package audit

import (
	"encoding/json"
	"slices"
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

const (
	// maxSegmentBytes bounds a segment. Each append writes the whole segment again, so it also bounds a write.
	maxSegmentBytes = 32 << 10
	// ringSegments is how many segments a partition has.
	ringSegments = 16
	// maxReadBytes bounds what is decoded of a segment that something else may have written.
	maxReadBytes = 4 * maxSegmentBytes
)

// segment is the value of one object of kind audit.
type segment struct {
	// Sequence counts the segments of the partition; the object's place in the ring is Sequence modulo the length.
	Sequence uint64 `json:"sequence"`
	// Dropped counts the records of the partition that are gone, with the segments that were replaced.
	Dropped int      `json:"dropped"`
	Records []Record `json:"records"`
}

func (s segment) name(partition string) string {
	return partition + "-" + strconv.FormatUint(s.Sequence%ringSegments, 10)
}

func decodeSegment(name string, value []byte) (segment, error) {
	var s segment
	if len(value) > maxReadBytes || json.Unmarshal(value, &s) != nil {
		return segment{}, fault.New(fault.Invalid, "check what else writes objects of kind audit", "audit segment %q is malformed", name)
	}
	return s, nil
}

// take moves records into the segment while they fit, and returns how many it took. An empty segment takes at least
// one.
func (s *segment) take(records []Record) (int, error) {
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

// without returns the records whose ids the segment does not hold.
func (s *segment) without(records []Record) []Record {
	held := map[string]bool{}
	for _, r := range s.Records {
		held[r.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return held[r.ID] })
}
