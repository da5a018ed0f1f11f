package audit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// Filter selects records. A zero field selects all; Until is exclusive.
type Filter struct {
	Service, Zone string
	Since, Until  time.Time
}

func (f Filter) selects(r Record) bool {
	return (f.Service == "" || r.Service == f.Service) && (f.Zone == "" || r.Zone == f.Zone) &&
		(f.Since.IsZero() || !r.Time.Before(f.Since)) && (f.Until.IsZero() || r.Time.Before(f.Until))
}

// ReadResult is the result of reading the trail.
type ReadResult struct {
	// Records are sorted by time.
	Records []Record `json:"records"`
	// Dropped is the number of records that were dropped because of the size limits, whether the filter selects them or
	// not.
	Dropped int `json:"dropped"`
	// Malformed contains the names of segments that could not be decoded.
	Malformed []string `json:"malformed"`
}

// Read returns the records of the trail that the filter selects.
func Read(ctx context.Context, api objectapi.API, filter Filter) (ReadResult, error) {
	objects, _, err := api.List(ctx, objectapi.Audit)
	if err != nil {
		return ReadResult{}, err
	}
	found := ReadResult{Records: []Record{}, Malformed: []string{}}
	newest := map[string]segment{}
	for _, o := range objects {
		s, err := decodeSegment(o.Name, o.Value)
		if err != nil {
			found.Malformed = append(found.Malformed, o.Name)
			continue
		}
		partition := partitionOf(o.Name)
		if known, ok := newest[partition]; !ok || s.Sequence > known.Sequence {
			newest[partition] = s
		}
		for _, r := range s.Records {
			if filter.selects(r) {
				found.Records = append(found.Records, r)
			}
		}
	}
	for _, s := range newest {
		found.Dropped += s.Dropped
	}
	slices.SortStableFunc(found.Records, func(a, b Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.ID, b.ID))
	})
	return found, nil
}

// partitionOf returns the partition of a segment: its name without the index in the ring.
func partitionOf(name string) string {
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '-' {
			return name[:i]
		}
	}
	return name
}
