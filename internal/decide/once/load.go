package once

// segmentReads is the maximum number of segment reads in flight while a partition is loaded.
const segmentReads = 8

// headRead handles the head that was read.
func (p *Partition) headRead(r HeadRead) {
	p.read = r
	if r.Head == nil {
		p.event("missing")
		return
	}
	p.event("found")
}

// readSegments starts segment reads up to the limit of reads in flight.
func (p *Partition) readSegments() {
	if p.collected == nil {
		p.collected = map[uint64]SegmentRead{}
		p.toCollect = append([]SegmentRef(nil), p.read.Head.Segments...)
	}
	for len(p.toCollect) > 0 && p.collecting < segmentReads {
		p.emit(ReadSegment{Number: p.toCollect[0].Number})
		p.toCollect = p.toCollect[1:]
		p.collecting++
	}
}

// segmentRead handles a segment that was read. A missing segment counts as a failure unless all its claims have expired,
// because without its entries a claim could be granted twice.
func (p *Partition) segmentRead(r SegmentRead) {
	if p.machine.State() != "collecting" {
		return
	}
	if r.Missing && !p.segmentOver(r.Number) {
		p.event("failed")
		return
	}
	p.collected[r.Number] = r
	p.collecting--
	p.event("segment")
}

// segmentOver reports whether all claims of a segment had expired when the head was written.
func (p *Partition) segmentOver(number uint64) bool {
	for _, s := range p.read.Head.Segments {
		if s.Number == number {
			return s.Expires <= p.read.Head.Clock/1000
		}
	}
	return true
}

// adopt restores the partition from the head and the segments that were read.
func (p *Partition) adopt() {
	r := p.read
	p.read = HeadRead{}
	p.version = r.Version
	p.clockFrom = p.now
	if r.Head == nil {
		return
	}
	p.clockBase, p.sequence = r.Head.Clock, r.Head.Sequence
	p.swept = uint32(p.clockBase / 1000 / expiryBucketSeconds)
	p.segments = append([]SegmentRef(nil), r.Head.Segments...)
	for _, s := range p.segments {
		p.load(p.collected[s.Number].Entries, false)
	}
	p.load(r.Head.Entries, true)
	p.collected = nil
}

// load adds unexpired entries to the claims in memory.
func (p *Partition) load(entries []Entry, inHead bool) {
	for _, e := range entries {
		if e.Expires <= p.clockBase/1000 {
			continue
		}
		state, known := p.states.loaded[e.State]
		if !known {
			state = p.states.loaded[StoredUnknown] // a state of a newer release: refuse the request
		}
		p.records[e.Digest] = record{
			check: e.Check, attempt: e.Attempt, expires: uint32(e.Expires), holder: p.intern(e.Holder), state: state, inHead: inHead,
		}
		p.expireLater(e.Digest, uint32(e.Expires))
		if inHead {
			p.inHead = append(p.inHead, e.Digest)
		}
	}
}

// intern returns the index of a holder in p.holders and adds it if necessary.
func (p *Partition) intern(h Holder) uint32 {
	if i, ok := p.indexOf[h]; ok {
		return i
	}
	i := uint32(len(p.holders))
	p.holders = append(p.holders, h)
	p.indexOf[h] = i
	return i
}

// forget drops the in-memory state and answers all pending messages. The claims of a commit in flight may be recorded, but
// they are never granted.
func (p *Partition) forget() {
	if p.commit != nil {
		p.forgetList(p.commit.claims)
		p.confirm(p.commit.confirms, false)
	}
	p.forgetList(p.next)
	p.confirm(p.confirms, false)
	p.clear()
}

func (p *Partition) forgetList(list []pending) {
	for _, waiting := range list {
		p.reply(waiting.ticket, StoreUnavailable, nil)
	}
}

func (p *Partition) clear() {
	p.records, p.holders, p.indexOf = map[Digest]record{}, nil, map[Holder]uint32{}
	p.expires, p.swept, p.answers = map[uint32][]Digest{}, 0, newAnswers(p.limits.KeptBytes)
	p.inHead, p.next, p.confirms, p.changed, p.commit, p.entries = nil, nil, nil, false, nil, nil
	p.segments, p.deleting = nil, map[uint64]bool{}
	p.version, p.sequence, p.writtenClock, p.clockBase, p.clockFrom = 0, 0, 0, 0, p.now
	p.read, p.collected, p.toCollect, p.collecting = HeadRead{}, nil, nil, 0
}
