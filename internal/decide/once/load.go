package once

// maxSegmentReads is the maximum number of segment reads in flight while a partition is loaded.
const maxSegmentReads = 8

// handleHeadRead stores the result of a head read and raises head_found or head_missing.
func (p *Partition) handleHeadRead(r HeadRead) {
	p.lastHeadRead = r
	if r.Head == nil {
		p.fireEvent("head_missing")
		return
	}
	p.fireEvent("head_found")
}

// readSegments starts segment reads up to the limit of reads in flight.
func (p *Partition) readSegments() {
	if p.segmentsRead == nil {
		p.segmentsRead = map[uint64]SegmentRead{}
		p.segmentsToRead = append([]SegmentRef(nil), p.lastHeadRead.Head.Segments...)
	}
	for len(p.segmentsToRead) > 0 && p.readsInFlight < maxSegmentReads {
		p.emit(ReadSegment{Number: p.segmentsToRead[0].Number})
		p.segmentsToRead = p.segmentsToRead[1:]
		p.readsInFlight++
	}
}

// handleSegmentRead stores a segment that was read. A missing segment counts as a failure unless all its claims have
// expired, because without its entries a claim could be granted twice.
func (p *Partition) handleSegmentRead(r SegmentRead) {
	if p.machine.State() != "collecting" {
		return
	}
	if r.Missing && !p.segmentExpired(r.Number) {
		p.fireEvent("store_failed")
		return
	}
	p.segmentsRead[r.Number] = r
	p.readsInFlight--
	p.fireEvent("segment_read")
}

// segmentExpired reports whether all claims of a segment had expired when the head was written.
func (p *Partition) segmentExpired(number uint64) bool {
	for _, s := range p.lastHeadRead.Head.Segments {
		if s.Number == number {
			return s.Expires <= p.lastHeadRead.Head.Clock/1000
		}
	}
	return true
}

// restore rebuilds the in-memory state from the head and the segments that were read.
func (p *Partition) restore() {
	r := p.lastHeadRead
	p.lastHeadRead = HeadRead{}
	p.version = r.Version
	p.clockFrom = p.now
	if r.Head == nil {
		return
	}
	p.clockBase, p.sequence = r.Head.Clock, r.Head.Sequence
	p.nextBucket = uint32(p.clockBase / 1000 / expiryBucketSeconds)
	p.segments = append([]SegmentRef(nil), r.Head.Segments...)
	for _, s := range p.segments {
		p.addEntries(p.segmentsRead[s.Number].Entries, false)
	}
	p.addEntries(r.Head.Entries, true)
	p.segmentsRead = nil
}

// addEntries adds unexpired entries to the claims in memory.
func (p *Partition) addEntries(entries []Entry, inHead bool) {
	for _, e := range entries {
		if e.Expires <= p.clockBase/1000 {
			continue
		}
		state, known := p.states.loaded[e.State]
		if !known {
			state = p.states.loaded[StoredUnknown] // a state of a newer release: refuse the request
		}
		p.records[e.Digest] = record{
			check: e.Check, attempt: e.Attempt, expires: uint32(e.Expires), holder: p.internHolder(e.Holder), state: state, inHead: inHead,
		}
		p.scheduleExpiry(e.Digest, uint32(e.Expires))
		if inHead {
			p.headDigests = append(p.headDigests, e.Digest)
		}
	}
}

// internHolder returns the index of a holder in p.holders and adds it if necessary.
func (p *Partition) internHolder(h Holder) uint32 {
	if i, ok := p.holderIndex[h]; ok {
		return i
	}
	i := uint32(len(p.holders))
	p.holders = append(p.holders, h)
	p.holderIndex[h] = i
	return i
}

// dropState drops the in-memory state and answers all pending claims and settlements. The claims of a commit in flight may
// be recorded, but they are never granted.
func (p *Partition) dropState() {
	if p.commit != nil {
		p.replyUnavailable(p.commit.claims)
		p.confirm(p.commit.confirmTickets, false)
	}
	p.replyUnavailable(p.nextClaims)
	p.confirm(p.confirmTickets, false)
	p.reset()
}

func (p *Partition) replyUnavailable(list []pendingClaim) {
	for _, claim := range list {
		p.reply(claim.ticket, StoreUnavailable, nil)
	}
}

func (p *Partition) reset() {
	p.records, p.holders, p.holderIndex = map[Digest]record{}, nil, map[Holder]uint32{}
	p.expiryBuckets, p.nextBucket, p.answers = map[uint32][]Digest{}, 0, newAnswerCache(p.limits.AnswerCacheBytes)
	p.headDigests, p.nextClaims, p.confirmTickets, p.hasChanges, p.commit, p.entryBuffer = nil, nil, nil, false, nil, nil
	p.segments, p.deletionsInFlight = nil, map[uint64]bool{}
	p.version, p.sequence, p.writtenClock, p.clockBase, p.clockFrom = 0, 0, 0, 0, p.now
	p.lastHeadRead, p.segmentsRead, p.segmentsToRead, p.readsInFlight = HeadRead{}, nil, nil, 0
}
