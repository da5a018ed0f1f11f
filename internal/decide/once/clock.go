package once

import "time"

// clock returns the partition clock in milliseconds. An owner continues the clock of the head that it loaded with its own
// monotonic clock, so wall clocks of instances are never compared and the partition clock never runs ahead.
func (p *Partition) clock(now time.Time) uint64 {
	return p.clockBase + uint64(max(0, now.Sub(p.clockFrom).Milliseconds()))
}

// expiry returns the time, in seconds of the partition clock, at which a claim made now expires.
func (p *Partition) expiry(now time.Time, window time.Duration) uint32 {
	return uint32((p.clock(now)+uint64(window.Milliseconds()))/1000) + 1
}

// scheduleExpiry adds a claim to the bucket in which it expires.
func (p *Partition) scheduleExpiry(d Digest, expires uint32) {
	bucket := expires / expiryBucketSeconds
	p.expiryBuckets[bucket] = append(p.expiryBuckets[bucket], d)
}

// removeIfExpired removes a claim if its window has ended.
func (p *Partition) removeIfExpired(d Digest) {
	rec, ok := p.records[d]
	if ok && uint64(rec.expires) <= p.clock(p.now)/1000 {
		p.fireClaimEvent("expire", claimEvent{now: p.now, digest: d})
	}
}

// sweep removes the expired claims of all past buckets.
func (p *Partition) sweep() {
	current := uint32(p.clock(p.now) / 1000 / expiryBucketSeconds)
	if p.nextBucket >= current {
		return
	}
	for ; p.nextBucket < current; p.nextBucket++ {
		for _, d := range p.expiryBuckets[p.nextBucket] {
			p.removeIfExpired(d)
		}
		delete(p.expiryBuckets, p.nextBucket)
	}
	p.deleteExpiredSegments()
}
