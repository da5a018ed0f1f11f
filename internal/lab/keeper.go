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
	servers []*keptServer
	waiting []*waitingLeaseRequest
}

// keptServer is the state of one server at its keeper.
type keptServer struct {
	name        string
	slots       int
	cold        bool
	allowance   int
	stepStart   time.Time
	incarnation string
	// previousIncarnation is the previous incarnation. Reports about it are stale.
	previousIncarnation string
	slotsByInstance     map[int]int
	latency             time.Duration
	typicalLatency      time.Duration
	// blockedUntil is the time until which earlier grants may still be in use.
	blockedUntil time.Time
	// answers and totalLatency are the number and total latency of the answers in the current step of the ramp.
	answers      int
	totalLatency time.Duration
}

// waitingLeaseRequest is a lease request that waits for a free slot.
type waitingLeaseRequest struct {
	instance *instance
	want     int
	sent     time.Time
	answered bool
}

// maxLeaseRequestWait bounds the time that a lease request waits for a free slot.
const maxLeaseRequestWait = 20 * time.Millisecond

func newKeeper(w *world, zone string) *keeper {
	k := &keeper{w: w, zone: zone, epoch: 1, up: true}
	for _, s := range w.servers {
		if s.zone == zone {
			k.servers = append(k.servers, &keptServer{name: s.name, slots: s.slots, allowance: s.slots, incarnation: s.incarnation(), slotsByInstance: map[int]int{}})
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
		k.w.counters.probes++
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
			s.slotsByInstance = map[int]int{}
			s.incarnation = k.w.byName[s.name].incarnation()
			if !k.w.policy.TrustHistory || s.typicalLatency == 0 {
				k.presumeCold(s, s.incarnation)
			}
		}
	})
}

// presumeCold limits a server to the cold allowance and blocks grants until its current leases have expired.
func (k *keeper) presumeCold(s *keptServer, incarnation string) {
	s.cold = true
	s.allowance = k.w.serviceDoc.Servers.ColdAllowance
	s.stepStart = k.w.now
	s.answers, s.totalLatency = 0, 0
	if s.incarnation != "" && s.incarnation != incarnation {
		s.previousIncarnation = s.incarnation
	}
	s.incarnation = incarnation
	s.blockedUntil = k.w.now.Add(leaseTerm)
	if len(s.slotsByInstance) == 0 {
		s.blockedUntil = time.Time{}
	}
}

// handleNotice handles a notice that a server is cold or down and forwards it to the holders of its slots.
func (k *keeper) handleNotice(n balance.Notice) {
	s := k.find(n.Server)
	if !k.up || s == nil || n.State != balance.Cold && n.State != balance.Down {
		return
	}
	if s.cold && s.allowance == k.w.serviceDoc.Servers.ColdAllowance {
		return
	}
	k.presumeCold(s, n.Incarnation)
	k.recall(s, n)
}

// recall revokes the leases of a server. Cold slots are granted only after all holders have acknowledged.
func (k *keeper) recall(s *keptServer, n balance.Notice) {
	var slowest time.Duration
	for id := range s.slotsByInstance {
		inst := k.w.instances[id]
		delay := k.w.networkDelay(k.zone, inst.place.Zone)
		slowest = max(slowest, 2*delay)
		k.w.counters.controlBytes += 2 * messageBytes
		k.w.after(delay, func() { inst.receiveNotice(n) })
	}
	s.slotsByInstance = map[int]int{}
	s.blockedUntil = k.w.now.Add(slowest)
}

func (k *keeper) find(name string) *keptServer {
	for _, s := range k.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// handleLeaseRequest renews the slots that the instance holds and grants further ones that are free. A request that gets none
// waits for a short time.
func (k *keeper) handleLeaseRequest(inst *instance, d balance.Demand, sent time.Time) {
	if !k.up {
		return
	}
	k.w.measureControl(func() { k.applyLeaseRequest(inst, d) })
	granted := 0
	k.w.measureControl(func() { granted = k.grant(inst, d.Want) })
	if granted == 0 && d.Want > 0 && k.w.now.Sub(sent) < leaseRequestTimeout {
		p := &waitingLeaseRequest{instance: inst, want: d.Want, sent: sent}
		k.waiting = append(k.waiting, p)
		k.w.after(maxLeaseRequestWait, func() { k.answerWaiting(p) })
	} else {
		k.sendLease(inst, sent)
	}
	k.serveWaiting()
}

// applyLeaseRequest updates the held slots and applies the server reports of a lease request.
func (k *keeper) applyLeaseRequest(inst *instance, d balance.Demand) {
	for _, s := range k.servers {
		delete(s.slotsByInstance, inst.id)
	}
	for _, h := range d.Held {
		if s := k.find(h.Server); s != nil && h.Slots+h.Busy > 0 {
			s.slotsByInstance[inst.id] = max(h.Slots, h.Busy)
		}
	}
	for _, r := range d.Reports {
		if s := k.find(r.Server); s != nil {
			k.applyReport(s, r)
		}
	}
}

// applyReport updates the latency of a server and raises the allowance of a cold one after each step of fast answers.
func (k *keeper) applyReport(s *keptServer, r balance.Report) {
	if !k.w.policy.StaleReports && s.previousIncarnation != "" && r.Incarnation == s.previousIncarnation {
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
	s.latency = movingAverage(s.latency, r.Latency, 4)
	if !s.cold {
		if r.Running < r.Slots { // latency that includes queueing does not show how fast a warm server works
			s.typicalLatency = movingAverage(s.typicalLatency, r.Latency, 64)
		}
		return
	}
	s.answers += r.Good
	s.totalLatency += time.Duration(r.Good) * r.Latency
	k.raiseAllowance(s)
}

// stepAnswers is the number of answers that a step of the ramp needs. Fewer are not significant: a single short request is
// fast even at a cold server.
const stepAnswers = 4

// stepAnswersWithoutTypical is the number of answers that a step needs when there is no typical latency to compare with,
// because every server has had a queue since this keeper took over.
const stepAnswersWithoutTypical = 4 * stepAnswers

// typicalLatencyOf returns the typical latency of a server without a queue, the average of the other servers when its own
// is not known, or zero.
func (k *keeper) typicalLatencyOf(s *keptServer) time.Duration {
	if s.typicalLatency > 0 {
		return s.typicalLatency
	}
	var sum time.Duration
	known := 0
	for _, other := range k.servers {
		if other.typicalLatency > 0 {
			sum += other.typicalLatency
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

// raiseAllowance doubles the allowance of a cold server when the mean latency of a step is within the limit.
func (k *keeper) raiseAllowance(s *keptServer) {
	minAnswers, factor := stepAnswers, 1.5
	if k.w.policy.LooseRamp {
		factor = 2
	}
	if s.answers < minAnswers || k.w.now.Sub(s.stepStart) < k.w.serviceDoc.Servers.WarmUpStep {
		return
	}
	typical := k.typicalLatencyOf(s)
	if typical == 0 && s.answers < stepAnswersWithoutTypical {
		return
	}
	fastEnough := typical == 0 || float64(s.totalLatency)/float64(s.answers) <= factor*float64(typical)
	s.answers, s.totalLatency = 0, 0
	s.stepStart = k.w.now
	if fastEnough {
		s.allowance = min(2*s.allowance, s.slots)
		s.cold = s.allowance < s.slots
	}
}

// movingAverage returns an exponential moving average; the first sample sets it.
func movingAverage(old, sample time.Duration, weight int) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/time.Duration(weight)
}

// grant grants up to the wanted number of slots of warm servers, from those with the lowest expected delay first, and
// returns their number. An instance in the zone of the keeper also gets one free slot of each cold server, which is not
// counted.
func (k *keeper) grant(inst *instance, want int) int {
	granted := 0
	for _, s := range k.servers {
		if s.cold && s.freeSlots(k.w.now) > 0 && inst.place.Zone == k.zone {
			s.slotsByInstance[inst.id]++ // the cold slot goes to the first instance of the zone that sends a lease request
		}
	}
	for granted < want {
		best := k.bestServer()
		if best == nil {
			break
		}
		best.slotsByInstance[inst.id]++
		granted++
	}
	return granted
}

// bestServer returns the warm server with free slots that has the lowest score, or nil.
func (k *keeper) bestServer() *keptServer {
	var best *keptServer
	for _, s := range k.servers {
		if s.cold || s.freeSlots(k.w.now) <= 0 {
			continue
		}
		if best == nil || s.score() < best.score() {
			best = s
		}
	}
	return best
}

func (s *keptServer) freeSlots(now time.Time) int {
	if now.Before(s.blockedUntil) {
		return 0
	}
	return s.allowance - s.grantedSlots()
}

func (s *keptServer) grantedSlots() int {
	total := 0
	for _, n := range s.slotsByInstance {
		total += n
	}
	return total
}

// score estimates the delay at a server from its latency and the share of granted slots.
func (s *keptServer) score() float64 {
	return float64(max(s.latency, time.Millisecond)) * (1 + float64(s.grantedSlots())/float64(s.slots))
}

func (k *keeper) serveWaiting() {
	for _, p := range slices.Clone(k.waiting) {
		if k.grant(p.instance, p.want) > 0 {
			k.answerWaiting(p)
		}
	}
}

func (k *keeper) answerWaiting(p *waitingLeaseRequest) {
	if p.answered || !k.up {
		return
	}
	p.answered = true
	k.waiting = slices.DeleteFunc(k.waiting, func(other *waitingLeaseRequest) bool { return other == p })
	k.sendLease(p.instance, p.sent)
}

// sendLease sends an instance all its grants in the shard.
func (k *keeper) sendLease(inst *instance, sent time.Time) {
	l := balance.ShardLease{Zone: k.zone, Epoch: k.epoch, ExpiresAt: sent.Add(leaseTerm)}
	for _, s := range k.servers {
		l.Grants = append(l.Grants, balance.SlotGrant{Server: s.name, Incarnation: s.incarnation, Slots: s.slotsByInstance[inst.id], Cold: s.cold})
	}
	k.w.counters.controlBytes += messageBytes + serverBytes*len(l.Grants)
	k.w.after(k.w.networkDelay(k.zone, inst.place.Zone), func() { inst.receiveLease(l) })
}
