package once

// commit is the write in flight. Its content does not change until the result of the write is known.
type commit struct {
	head     Head
	claims   []pending
	confirms []uint64
	// sealed holds the entries of the new segment that the head refers to; nil if the commit seals none.
	sealed []Entry
	number uint64
}

const (
	// sealLeast is the number of entries below which the head is not sealed, unless SealEntries is smaller.
	sealLeast = 200
	// segmentsPerEntry is the number of segment references per entry at which the head is sealed. An entry takes about 32
	// bytes in the head and a segment reference about 4.
	segmentsPerEntry = 4
)

// headFull reports whether the next commit must seal the head. Every commit rewrites the entries and the references to all
// segments. Sealing earlier makes more segments, so the head is sealed once its entries take twice as many bytes as the
// references.
func (p *Partition) headFull() bool {
	return len(p.inHead) >= min(p.limits.SealEntries, max(sealLeast, len(p.segments)/segmentsPerEntry))
}

// freeze builds the next commit from all pending claims and settlements.
func (p *Partition) freeze() {
	p.sequence++
	p.commit = &commit{claims: p.next, confirms: p.confirms}
	p.next, p.confirms, p.changed = nil, nil, false
	p.commit.head = Head{
		Owner: p.self, Sequence: p.sequence, Clock: p.clock(p.now),
		Segments: append([]SegmentRef(nil), p.segments...), Entries: p.headEntries(),
	}
}

// freezeSealed builds a commit that moves all entries into a new segment. The sequence number of the commit numbers the
// segment: only one owner can commit a head with this sequence number, so no other head refers to a segment with it.
func (p *Partition) freezeSealed() {
	p.freeze()
	c := p.commit
	c.sealed, c.number = c.head.Entries, c.head.Sequence
	c.head.Entries = nil
	ref := SegmentRef{Number: c.number}
	for _, e := range c.sealed {
		ref.Expires = max(ref.Expires, e.Expires)
	}
	c.head.Segments = append(c.head.Segments, ref)
	p.segments = append(p.segments, ref)
	p.leaveHead()
}

// leaveHead marks all claims as not in the head, so that a later change adds them to the head again.
func (p *Partition) leaveHead() {
	for _, d := range p.inHead {
		if rec, ok := p.records[d]; ok {
			rec.inHead = false
			p.records[d] = rec
		}
	}
	p.inHead = p.inHead[:0]
}

// headEntries returns the entries for the head without expired claims.
func (p *Partition) headEntries() []Entry {
	p.entries = p.entries[:0]
	kept := p.inHead[:0]
	for _, d := range p.inHead {
		rec, ok := p.records[d]
		if !ok || !rec.inHead {
			continue
		}
		kept = append(kept, d)
		p.entries = append(p.entries, Entry{
			Digest: d, Check: rec.check, State: p.states.stored[rec.state], Holder: p.holders[rec.holder],
			Attempt: rec.attempt, Expires: uint64(rec.expires),
		})
	}
	p.inHead = kept
	return p.entries
}

func (p *Partition) writeSegment() {
	p.budget.spend(p.now)
	p.emit(WriteSegment{Number: p.commit.number, Entries: p.commit.sealed})
}

func (p *Partition) writeHead() {
	p.budget.spend(p.now)
	p.emit(WriteHead{Version: p.version, Head: &p.commit.head})
}

// writtenVersion returns the version of the head after a write. Writing a segment does not change it.
func (p *Partition) writtenVersion(w Written) uint64 {
	if p.machine.State() == "sealing" {
		return p.version
	}
	return w.Version
}

// ownWrite reports whether the head read back is the one that the commit in flight wrote.
func (p *Partition) ownWrite() bool {
	return p.commit != nil && p.read.Head.Owner == p.self && p.read.Head.Sequence == p.commit.head.Sequence
}

// commitDone grants the claims and confirms the settlements of the commit.
func (p *Partition) commitDone() {
	c := p.commit
	p.commit = nil
	p.read = HeadRead{}
	p.writtenClock = c.head.Clock
	for _, waiting := range c.claims {
		p.fire("committed", step{now: p.now, digest: waiting.digest, ticket: waiting.ticket})
	}
	p.confirm(c.confirms, true)
}

func (p *Partition) confirm(tickets []uint64, recorded bool) {
	for _, t := range tickets {
		p.emit(Confirmation{Ticket: t, Recorded: recorded})
	}
}

// abandon refuses all pending claims because the object API does not answer. They may be recorded, but they are never
// granted.
func (p *Partition) abandon() {
	p.abandonList(p.commit.claims)
	p.abandonList(p.next)
}

func (p *Partition) abandonList(list []pending) {
	for i, waiting := range list {
		p.fire("abandon", step{now: p.now, digest: waiting.digest, ticket: waiting.ticket})
		list[i].ticket = 0
	}
}

// deleteExpiredSegments deletes the segments whose claims have all expired. The head refers to them until the deletion is
// confirmed. Expiry is judged by the clock of the last written head, so that a later owner, which loads this clock, accepts
// that such a segment is missing.
func (p *Partition) deleteExpiredSegments() {
	clear(p.deleting)
	for _, s := range p.segments {
		if s.Expires <= p.writtenClock/1000 {
			p.deleting[s.Number] = true
			p.emit(DeleteSegment{Number: s.Number})
		}
	}
}

func (p *Partition) segmentDeleted(d SegmentDeleted) {
	if !p.machine.In("owned") || !p.deleting[d.Number] {
		return
	}
	delete(p.deleting, d.Number)
	kept := p.segments[:0]
	for _, s := range p.segments {
		if s.Number != d.Number {
			kept = append(kept, s)
		}
	}
	p.segments = kept
}
