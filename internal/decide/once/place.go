package once

import (
	"slices"
	"strconv"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// PartitionID identifies a partition by a set of allowed regions and a number.
type PartitionID struct {
	// Regions are the regions whose instances may own the partition, sorted. If empty, every region may.
	Regions []string
	Number  uint32
}

// PartitionIDOf returns the id of the partition that holds a digest.
func PartitionIDOf(d Digest, regions []string, partitions int) PartitionID {
	sorted := slices.Sorted(slices.Values(regions))
	number := (uint32(d[0])<<8 | uint32(d[1])) % uint32(partitions)
	return PartitionID{Regions: slices.Compact(sorted), Number: number}
}

// Name returns the name of the partition's head object. It contains the name of the region set, so the names of different
// partitions never collide.
func (p PartitionID) Name() string {
	return regionSetName(p.Regions) + ".p" + strconv.FormatUint(uint64(p.Number), 10)
}

// SegmentName returns the object name of a sealed segment.
func (p PartitionID) SegmentName(number uint64) string {
	return p.Name() + ".s" + strconv.FormatUint(number, 10)
}

// Allows reports whether an instance in the region may own the partition.
func (p PartitionID) Allows(region string) bool {
	return len(p.Regions) == 0 || slices.Contains(p.Regions, region)
}

// Owner returns the instance that owns the partition according to the view, by rendezvous hashing. It returns false if no
// allowed region has a live instance.
func (p PartitionID) Owner(view *member.View) (member.Instance, bool) {
	return member.Rendezvous(p.Name(), view.In(p.Regions...))
}

// RegionSets returns the number of distinct sets of allowed regions over the once-only routes of the services. Each set
// has its own partitions.
func RegionSets(services []*document.Service) int {
	sets := map[string]bool{}
	for _, s := range services {
		for _, r := range s.Routes {
			if r.OnceOnly {
				addRegionSets(sets, r.HomeRegions, s.Tenants)
			}
		}
	}
	return len(sets)
}

// addRegionSets adds the region sets of one route: its home regions, and their intersection with those of each tenant.
func addRegionSets(sets map[string]bool, regions []string, tenants []document.Tenant) {
	sets[regionSetName(regions)] = true
	for _, t := range tenants {
		switch {
		case len(t.HomeRegions) == 0:
		case len(regions) == 0:
			sets[regionSetName(t.HomeRegions)] = true
		default:
			shared := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return !slices.Contains(t.HomeRegions, r) })
			sets[regionSetName(shared)] = true
		}
	}
}

// regionSetName returns a name for a set of regions. Each region is prefixed with its length, so that the names of
// different sets never collide: region names may contain dots and dashes, and object names allow no other separator.
func regionSetName(regions []string) string {
	var name strings.Builder
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	name.WriteString("r" + strconv.Itoa(len(sorted)))
	for _, r := range sorted {
		name.WriteString("." + strconv.Itoa(len(r)) + "." + r)
	}
	return name.String()
}
