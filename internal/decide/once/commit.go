package once

// commit is the write in flight. Its content does not change until the result of the write is known.
type commit struct {
	head           Head
	claims         []pendingClaim
	confirmTickets []uint64
	// sealedEntries holds the entries of the new segment that the head refers to; nil if the commit seals none.
	sealedEntries []Entry
	segmentNumber uint64
}

const (
	// minSealEntries is the number of entries below which the head is not sealed, unless MaxHeadEntries is smaller.
	minSealEntries = 200
	// segmentsPerEntry makes the head full when it holds one entry for every 4 segment references. An entry takes about 32
	// bytes in the head and a segment reference about 4.
	segmentsPerEntry = 4
)

// headFull reports whether the next commit must seal the head. Every commit rewrites all entries and all segment
// references. Sealing with fewer entries makes more segments, and so more references. The head is therefore sealed once its
// entries take twice as many bytes as its references.
func (p *Partition) headFull() bool {
	return len(p.headDigests) >= min(p.limits.MaxHeadEntries, max(minSealEntries, len(p.segments)/segmentsPerEntry))
}

// buildCommit builds the next commit from all pending claims and settlements.
func (p *Partition) buildCommit() {
	p.sequence++
	p.commit = &commit{claims: p.nextClaims, confirmTickets: p.confirmTickets}
	p.nextClaims, p.confirmTickets, p.hasChanges = nil, nil, false
	p.commit.head = Head{
		Owner: p.self, Sequence: p.sequence, Clock: p.clock(p.now),
		Segments: append([]SegmentRef(nil), p.segments...), Entries: p.headEntries(),
	}
}

// buildSealingCommit builds a commit that moves all entries into a new segment. The segment gets the sequence number of the
// commit: only one owner can commit a head with this sequence number, so no other head refers to a segment with it.
func (p *Partition) buildSealingCommit() {
	p.buildCommit()
	c := p.commit
	c.sealedEntries, c.segmentNumber = c.head.Entries, c.head.Sequence
	c.head.Entries = nil
	ref := SegmentRef{Number: c.segmentNumber}
	for _, e := range c.sealedEntries {
		ref.Expires = max(ref.Expires, e.Expires)
	}
	c.head.Segments = append(c.head.Segments, ref)
	p.segments = append(p.segments, ref)
	p.clearHeadDigests()
}

// clearHeadDigests marks all claims as not in the head, so that a later change adds them to the head again.
func (p *Partition) clearHeadDigests() {
	for _, d := range p.headDigests {
		if rec, ok := p.records[d]; ok {
			rec.inHead = false
			p.records[d] = rec
		}
	}
	p.headDigests = p.headDigests[:0]
}

// headEntries returns the entries for the head without expired claims.
func (p *Partition) headEntries() []Entry {
	p.entryBuffer = p.entryBuffer[:0]
	kept := p.headDigests[:0]
	for _, d := range p.headDigests {
		rec, ok := p.records[d]
		if !ok || !rec.inHead {
			continue
		}
		kept = append(kept, d)
		p.entryBuffer = append(p.entryBuffer, Entry{
			Digest: d, Check: rec.check, State: p.states.stored[rec.state], Holder: p.holders[rec.holder],
			Attempt: rec.attempt, Expires: uint64(rec.expires),
		})
	}
	p.headDigests = kept
	return p.entryBuffer
}

func (p *Partition) writeSegment() {
	p.budget.spend(p.now)
	p.emit(WriteSegment{Number: p.commit.segmentNumber, Entries: p.commit.sealedEntries})
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

// headIsOwnWrite reports whether the head read back is the one that the commit in flight wrote.
func (p *Partition) headIsOwnWrite() bool {
	return p.commit != nil && p.lastHeadRead.Head.Owner == p.self && p.lastHeadRead.Head.Sequence == p.commit.head.Sequence
}

// completeCommit grants the claims and confirms the settlements of the commit.
func (p *Partition) completeCommit() {
	c := p.commit
	p.commit = nil
	p.lastHeadRead = HeadRead{}
	p.writtenClock = c.head.Clock
	for _, claim := range c.claims {
		p.fireClaimEvent("committed", claimEvent{now: p.now, digest: claim.digest, ticket: claim.ticket})
	}
	p.confirm(c.confirmTickets, true)
}

func (p *Partition) confirm(tickets []uint64, recorded bool) {
	for _, t := range tickets {
		p.emit(Confirmation{Ticket: t, Recorded: recorded})
	}
}

// abandonPending replies StoreUnavailable to all pending claims because the object API does not answer. They may be
// recorded, but they are never granted.
func (p *Partition) abandonPending() {
	p.abandonClaims(p.commit.claims)
	p.abandonClaims(p.nextClaims)
}

func (p *Partition) abandonClaims(list []pendingClaim) {
	for i, claim := range list {
		p.fireClaimEvent("abandon", claimEvent{now: p.now, digest: claim.digest, ticket: claim.ticket})
		list[i].ticket = 0
	}
}

// deleteExpiredSegments deletes the segments whose claims have all expired. The head refers to them until the deletion is
// confirmed. Expiry is judged by the clock of the last written head, so that a later owner, which loads this clock, accepts
// that such a segment is missing.
func (p *Partition) deleteExpiredSegments() {
	clear(p.deletionsInFlight)
	for _, s := range p.segments {
		if s.Expires <= p.writtenClock/1000 {
			p.deletionsInFlight[s.Number] = true
			p.emit(DeleteSegment{Number: s.Number})
		}
	}
}

func (p *Partition) handleSegmentDeleted(d SegmentDeleted) {
	if !p.machine.In("owned") || !p.deletionsInFlight[d.Number] {
		return
	}
	delete(p.deletionsInFlight, d.Number)
	kept := p.segments[:0]
	for _, s := range p.segments {
		if s.Number != d.Number {
			kept = append(kept, s)
		}
	}
	p.segments = kept
}
