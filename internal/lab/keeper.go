package lab

import (
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// keeper simulates the keeper of one zone. It never grants more slots of a server than the server has, and never more of a
// cold server than its allowance.
type keeper struct {
	w       *world
	zone    string
	epoch   uint64
	up      bool
	servers []*kept
	parked  []*parked
}

// kept is the state of one server at its keeper.
type kept struct {
	name        string
	slots       int
	cold        bool
	allowance   int
	grownAt     time.Time
	incarnation string
	// ended is the previous incarnation. Reports about it are stale.
	ended   string
	held    map[int]int
	latency time.Duration
	usual   time.Duration
	// frozen is the time until which earlier grants may still be in use.
	frozen time.Time
	// answers and spent are the number and total latency of the answers in the current step of the ramp.
	answers int
	spent   time.Duration
}

// parked is a lease request that waits for a free slot.
type parked struct {
	e        *entry
	want     int
	sent     time.Time
	answered bool
}

// parkTime bounds the time that a lease request waits for a free slot.
const parkTime = 20 * time.Millisecond

func newKeeper(w *world, zone string) *keeper {
	k := &keeper{w: w, zone: zone, epoch: 1, up: true}
	for _, s := range w.servers {
		if s.zone == zone {
			k.servers = append(k.servers, &kept{name: s.name, slots: s.slots, allowance: s.slots, incarnation: s.incarnation(), held: map[int]int{}})
		}
	}
	w.after(time.Second, k.probe)
	return k
}

// probe reads the incarnation of each server of the shard once a second.
func (k *keeper) probe() {
	k.w.after(time.Second, k.probe)
	if !k.up {
		return
	}
	for _, s := range k.servers {
		k.w.counted.probes++
		b := k.w.byName[s.name]
		if b.up && s.incarnation != b.incarnation() {
			k.presumeCold(s, b.incarnation())
		}
	}
}

// fail stops the keeper. Another one with a new epoch takes over after the given time, which covers the longest lease.
func (k *keeper) fail(takeover time.Duration) {
	k.up = false
	k.w.after(takeover, func() {
		k.up = true
		k.epoch++
		for _, s := range k.servers {
			s.held = map[int]int{}
			s.incarnation = k.w.byName[s.name].incarnation()
			if !k.w.policy.Evidence || s.usual == 0 {
				k.presumeCold(s, s.incarnation)
			}
		}
	})
}

// presumeCold limits a server to the cold allowance and blocks grants until its current leases have expired.
func (k *keeper) presumeCold(s *kept, incarnation string) {
	s.cold = true
	s.allowance = k.w.doc.Servers.ColdAllowance
	s.grownAt = k.w.now
	s.answers, s.spent = 0, 0
	if s.incarnation != "" && s.incarnation != incarnation {
		s.ended = s.incarnation
	}
	s.incarnation = incarnation
	s.frozen = k.w.now.Add(leaseTerm)
	if len(s.held) == 0 {
		s.frozen = time.Time{}
	}
}

// notice handles a notice that a server is cold or down and forwards it to the holders of its slots.
func (k *keeper) notice(n balance.Notice) {
	s := k.find(n.Server)
	if !k.up || s == nil || n.State != balance.Cold && n.State != balance.Down {
		return
	}
	if s.cold && s.allowance == k.w.doc.Servers.ColdAllowance {
		return
	}
	k.presumeCold(s, n.Incarnation)
	k.recall(s, n)
}

// recall revokes the leases of a server. Cold slots are granted only after all holders have acknowledged.
func (k *keeper) recall(s *kept, n balance.Notice) {
	var slowest time.Duration
	for id := range s.held {
		e := k.w.entries[id]
		hop := k.w.hop(k.zone, e.place.Zone)
		slowest = max(slowest, 2*hop)
		k.w.counted.bytes += 2 * messageBytes
		k.w.after(hop, func() { e.heard(n) })
	}
	s.held = map[int]int{}
	s.frozen = k.w.now.Add(slowest)
}

func (k *keeper) find(name string) *kept {
	for _, s := range k.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// demand handles a lease request: it renews the slots that the instance holds and grants further ones that are free. A
// request that gets none waits for a short time.
func (k *keeper) demand(e *entry, d balance.Demand, sent time.Time) {
	if !k.up {
		return
	}
	k.w.control(func() { k.learn(e, d) })
	granted := 0
	k.w.control(func() { granted = k.grant(e, d.Want) })
	if granted == 0 && d.Want > 0 && k.w.now.Sub(sent) < askTimeout {
		p := &parked{e: e, want: d.Want, sent: sent}
		k.parked = append(k.parked, p)
		k.w.after(parkTime, func() { k.reply(p) })
	} else {
		k.send(e, sent)
	}
	k.serveParked()
}

// learn updates the held slots and applies the server reports of a lease request.
func (k *keeper) learn(e *entry, d balance.Demand) {
	for _, s := range k.servers {
		delete(s.held, e.id)
	}
	for _, h := range d.Held {
		if s := k.find(h.Server); s != nil && h.Slots+h.Busy > 0 {
			s.held[e.id] = max(h.Slots, h.Busy)
		}
	}
	for _, r := range d.Reports {
		if s := k.find(r.Server); s != nil {
			k.report(s, r)
		}
	}
}

// report updates the latency of a server and raises the allowance of a cold one after each step of fast answers.
func (k *keeper) report(s *kept, r balance.Report) {
	if !k.w.policy.StaleReports && s.ended != "" && r.Incarnation == s.ended {
		return
	}
	if r.Incarnation != "" && r.Incarnation != s.incarnation {
		if s.cold && s.incarnation == "" {
			s.incarnation = r.Incarnation
		} else {
			k.presumeCold(s, r.Incarnation)
		}
	}
	if r.Good == 0 {
		return
	}
	s.latency = smooth(s.latency, r.Latency, 4)
	if !s.cold {
		if r.Running < r.Slots { // latency that includes queueing is not a sign of how fast a warm server is
			s.usual = smooth(s.usual, r.Latency, 64)
		}
		return
	}
	s.answers += r.Good
	s.spent += time.Duration(r.Good) * r.Latency
	k.grow(s)
}

// warmAnswers is the number of answers that a step of the ramp needs. Fewer are not significant: a single short request is
// fast even at a cold server.
const warmAnswers = 4

// blindAnswers is the number of answers that a step needs when there is no typical latency to compare with, because every
// server has had a queue since this keeper took over.
const blindAnswers = 4 * warmAnswers

// usualOf returns the typical latency of a server without a queue, the average of the other servers when its own is not
// known, or zero.
func (k *keeper) usualOf(s *kept) time.Duration {
	if s.usual > 0 {
		return s.usual
	}
	var sum time.Duration
	known := 0
	for _, other := range k.servers {
		if other.usual > 0 {
			sum += other.usual
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

// grow doubles the allowance of a cold server when the mean latency of a step is within the limit.
func (k *keeper) grow(s *kept) {
	enough, factor := warmAnswers, 1.5
	if k.w.policy.LooseRamp {
		factor = 2
	}
	if s.answers < enough || k.w.now.Sub(s.grownAt) < k.w.doc.Servers.WarmUpStep {
		return
	}
	usual := k.usualOf(s)
	if usual == 0 && s.answers < blindAnswers {
		return
	}
	inTime := usual == 0 || float64(s.spent)/float64(s.answers) <= factor*float64(usual)
	s.answers, s.spent = 0, 0
	s.grownAt = k.w.now
	if inTime {
		s.allowance = min(2*s.allowance, s.slots)
		s.cold = s.allowance < s.slots
	}
}

// smooth returns an exponential moving average; the first sample sets it.
func smooth(old, sample time.Duration, weight int) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/time.Duration(weight)
}

// grant grants up to the wanted number of slots, from the servers with the lowest expected delay first.
func (k *keeper) grant(e *entry, want int) int {
	granted := 0
	for _, s := range k.servers {
		if s.cold && s.free(k.w.now) > 0 && e.place.Zone == k.zone {
			s.held[e.id]++ // the cold slot goes to the first instance of the zone that sends a request
		}
	}
	for granted < want {
		best := k.freest()
		if best == nil {
			break
		}
		best.held[e.id]++
		granted++
	}
	return granted
}

// freest returns the warm server with free slots that has the lowest score, or nil.
func (k *keeper) freest() *kept {
	var best *kept
	for _, s := range k.servers {
		if s.cold || s.free(k.w.now) <= 0 {
			continue
		}
		if best == nil || s.score() < best.score() {
			best = s
		}
	}
	return best
}

func (s *kept) free(now time.Time) int {
	if now.Before(s.frozen) {
		return 0
	}
	return s.allowance - s.granted()
}

func (s *kept) granted() int {
	total := 0
	for _, n := range s.held {
		total += n
	}
	return total
}

// score estimates the delay at a server from its latency and the share of granted slots.
func (s *kept) score() float64 {
	return float64(max(s.latency, time.Millisecond)) * (1 + float64(s.granted())/float64(s.slots))
}

func (k *keeper) serveParked() {
	for _, p := range slices.Clone(k.parked) {
		if k.grant(p.e, p.want) > 0 {
			k.reply(p)
		}
	}
}

func (k *keeper) reply(p *parked) {
	if p.answered || !k.up {
		return
	}
	p.answered = true
	k.parked = slices.DeleteFunc(k.parked, func(other *parked) bool { return other == p })
	k.send(p.e, p.sent)
}

// send sends an instance all its grants in the shard.
func (k *keeper) send(e *entry, sent time.Time) {
	l := balance.Leased{Zone: k.zone, Epoch: k.epoch, Until: sent.Add(leaseTerm)}
	for _, s := range k.servers {
		l.Grants = append(l.Grants, balance.SlotGrant{Server: s.name, Incarnation: s.incarnation, Slots: s.held[e.id], Cold: s.cold})
	}
	k.w.counted.bytes += messageBytes + entryBytes*len(l.Grants)
	k.w.after(k.w.hop(k.zone, e.place.Zone), func() { e.leased(l) })
}
