package gateway

import (
	"context"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/news"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

const (
	// seedTimeout is how long a starting instance waits for an answer of its seeds (the peers named in its settings)
	// before it reads the store itself: several round trips between regions.
	seedTimeout = 120 * time.Millisecond
	// seedTimeoutFirstStart is the same when the whole fleet starts for the first time: the seeds are starting as well,
	// and no requests have to be served yet.
	seedTimeoutFirstStart = time.Second
	// peerRetryDelay is how long a peer that did not answer is not asked again.
	peerRetryDelay = 2 * time.Second
	// startRetryDelay is the same while this instance starts, since its seeds may be starting as well.
	startRetryDelay = 60 * time.Millisecond
	// peerCheckInterval is the interval at which an instance that reads the store asks a peer of better rank, which should
	// read instead.
	peerCheckInterval = 500 * time.Millisecond
	// maxNewsBytes is the maximum size of one reply to a peer; kinds that do not fit follow in the next reply.
	maxNewsBytes = 900 << 10
	// maxPeersInOutage is the number of peers that are asked at a time while the store does not answer this instance.
	maxPeersInOutage = 2
	// ageCheckInterval is the interval at which the age of the updates is checked.
	ageCheckInterval = 100 * time.Millisecond
)

// Messages to the board about store updates (news) exchanged with peers.
type (
	// newsRequest is a request of a peer for updates.
	newsRequest struct {
		request *peerpb.NewsRequest
		reply   chan<- *peerpb.NewsReply
	}
	// newsResult is the reply of a peer, or the error of the call.
	newsResult struct {
		address string
		// sentAt is when the request was sent.
		sentAt time.Time
		// suspended is how long the machine had been suspended in total at that time.
		suspended time.Duration
		// knownRevisions holds the revisions that were known when the request was sent.
		knownRevisions map[objectapi.Kind]uint64
		reply          *peerpb.NewsReply
		err            error
	}
)

// heldRequest is a request of a peer that is held until there is an update or its wait is over.
type heldRequest struct {
	newsRequest
	receivedAt, deadline time.Time
}

// newsSource is the part of the board that decides whether store updates come from the store itself or from a peer. It is
// the context of charts/news.toml.
type newsSource struct {
	board  *board
	self   fleet.Instance
	pace   news.Pace
	client *peer.Client
	sender *peerpb.Sender
	// seeds are the addresses of the peers named in the settings.
	seeds []string
	// seedTimeout is how long the seeds may take to answer before this instance reads the store.
	seedTimeout time.Duration
	// isSeed is true if this instance is a seed of others. It does not wait for other seeds, which may be waiting for it.
	isSeed  bool
	feeds   map[objectapi.Kind]*feed
	machine *chart.Machine[*newsSource]

	started time.Time
	// standing is the rank of this instance among its peers.
	standing news.Standing
	// inFlight holds the peers with a request in flight.
	inFlight map[string]bool
	// askedAt holds when each peer was last asked.
	askedAt map[string]time.Time
	// retryAt holds, for each peer that did not answer, the time from which it may be asked again.
	retryAt map[string]time.Time
	// heldRequests holds the requests of peers that are not answered yet.
	heldRequests []heldRequest
}

func newNewsSource(b *board, self fleet.Instance, settings *Settings, client *peer.Client) (*newsSource, error) {
	ch, err := charts.Load("news", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*newsSource]{
		Actions: map[string]func(*newsSource){
			"start_asking":  func(r *newsSource) { r.started = time.Now() },
			"start_reading": func(r *newsSource) { r.setReading(true) },
			"stop_reading":  func(r *newsSource) { r.setReading(false) },
		},
		Observe: func(r *newsSource, from, event, to string) {
			r.board.log.Info("source of news changed", "from", from, "event", event, "to", to, "rank", r.standing.Rank,
				"age_ms", r.dataAge(time.Now()).Milliseconds())
		},
	})
	if err != nil {
		return nil, err
	}
	r := &newsSource{
		board: b, self: self, pace: news.NewPace(settings.Bounds.Drain), client: client, seedTimeout: seedTimeout,
		seeds:  slices.DeleteFunc(slices.Clone(settings.Seeds), func(a string) bool { return a == self.Address }),
		isSeed: slices.Contains(settings.Seeds, self.Address), feeds: map[objectapi.Kind]*feed{},
		inFlight: map[string]bool{}, askedAt: map[string]time.Time{}, retryAt: map[string]time.Time{},
		sender: &peerpb.Sender{
			Instance: self.Name, Incarnation: self.Incarnation, Region: self.Place.Region, Zone: self.Place.Zone,
			Protocol: peer.ProtocolVersion,
		},
	}
	if settings.FirstStart {
		r.seedTimeout = seedTimeoutFirstStart
	}
	r.updateStanding()
	r.machine = bound.New(time.Now(), r)
	return r, nil
}

// setReading makes all feeds read the store, or stop doing so.
func (r *newsSource) setReading(active bool) {
	for kind, f := range r.feeds {
		f.setAssignment(assignment{active: active, revision: r.board.cache.ofKind(kind).revision})
	}
}

func (r *newsSource) fire(event string) {
	if err := r.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// dataAge returns the age of the entries of backend servers, the kind that changes most often.
func (r *newsSource) dataAge(now time.Time) time.Duration {
	asOf := r.board.asOf[objectapi.Backends]
	if asOf.IsZero() {
		return now.Sub(r.started) + r.pace.Most
	}
	return now.Sub(asOf)
}

// updateStanding computes the rank of this instance after a change of the list of instances.
func (r *newsSource) updateStanding() {
	instances := make([]fleet.Instance, 0, len(r.board.instances))
	for _, i := range r.board.instances {
		instances = append(instances, i)
	}
	r.standing = news.NewStanding(instances, r.self)
}

// checkSource decides by the age of the updates whether to read the store, asks peers that are due and answers held
// requests.
func (r *newsSource) checkSource(ctx context.Context, now time.Time) {
	switch age := r.dataAge(now); {
	case r.board.asOf[objectapi.Backends].IsZero():
		if len(r.seeds) == 0 || r.isSeed || now.Sub(r.started) >= r.seedTimeout {
			r.fire("stale")
		}
	case age > r.pace.LimitOf(r.standing.Rank):
		r.fire("stale")
	}
	for _, address := range r.peersToAsk(now) {
		r.requestNews(ctx, now, address)
	}
	r.answerHeld(now)
}

// peersToAsk returns the addresses of the peers to ask now.
func (r *newsSource) peersToAsk(now time.Time) []string {
	switch {
	case r.machine.In("asking"):
		return r.availablePeers(now, r.seeds, len(r.seeds), 0)
	case r.machine.In("reading") && r.board.storeUnavailable():
		return r.availablePeers(now, r.allPeers(), maxPeersInOutage, peerCheckInterval)
	case r.machine.In("reading"):
		return r.availablePeers(now, addresses(r.standing.Before), 1, peerCheckInterval)
	}
	before := addresses(r.standing.Before)
	if len(before) == 0 {
		before = r.allPeers()
	}
	if len(before) == 0 {
		before = r.seeds // the first update may be older than the entries of all other instances
	}
	count := 1
	if r.dataAge(now) > r.pace.AskNext {
		count = 2
	}
	return r.availablePeers(now, before, count, 0)
}

// allPeers returns the addresses of all peers, starting with those of the own region.
func (r *newsSource) allPeers() []string {
	var ownRegion, otherRegions []string
	for _, i := range r.board.instances {
		switch {
		case i.Name == r.self.Name:
		case i.Place.Region == r.self.Place.Region:
			ownRegion = append(ownRegion, i.Address)
		default:
			otherRegions = append(otherRegions, i.Address)
		}
	}
	return append(ownRegion, otherRegions...)
}

func addresses(instances []fleet.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Address)
	}
	return list
}

// availablePeers returns the peers to ask among the first count responsive peers of the list: those without a request in
// flight that were last asked at least gap ago.
func (r *newsSource) availablePeers(now time.Time, list []string, count int, gap time.Duration) []string {
	var chosen []string
	for _, address := range list {
		if count == 0 {
			break
		}
		if now.Before(r.retryAt[address]) {
			continue
		}
		count--
		if !r.inFlight[address] && now.Sub(r.askedAt[address]) >= gap {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// requestNews requests updates from a peer. The reply arrives as a message to the board.
func (r *newsSource) requestNews(ctx context.Context, now time.Time, address string) {
	request := &peerpb.NewsRequest{Sender: r.sender,
		WaitMs: uint32((r.pace.Period + peerCheckInterval/2).Milliseconds()), Packed: true}
	known := map[objectapi.Kind]uint64{}
	for _, kind := range followedKinds {
		known[kind] = r.board.cache.ofKind(kind).revision
		request.Known = append(request.Known, &peerpb.KnownKind{Kind: string(kind), Revision: known[kind]})
	}
	r.inFlight[address], r.askedAt[address] = true, now
	inbox, client, suspended := r.board.inbox, r.client, r.board.countedSuspension
	go func() {
		reply, err := client.News(ctx, address, request)
		_ = inbox.Send(ctx, newsResult{address: address, sentAt: now, suspended: suspended, knownRevisions: known,
			reply: reply, err: err}) // fails only at shutdown
	}()
}

// handleResult handles the reply of a peer.
func (r *newsSource) handleResult(now time.Time, m newsResult) {
	delete(r.inFlight, m.address)
	if m.err != nil {
		if _, known := r.retryAt[m.address]; !known {
			r.board.log.Warn("peer does not answer a request for updates", "peer", m.address, "error", m.err)
		}
		r.retryAt[m.address] = now.Add(peerRetryDelay)
		if r.machine.In("asking") {
			r.retryAt[m.address] = now.Add(startRetryDelay)
		}
		return
	}
	if _, failed := r.retryAt[m.address]; failed {
		r.board.log.Info("peer answers requests for updates again", "peer", m.address)
		delete(r.retryAt, m.address)
	}
	for _, k := range m.reply.GetKinds() {
		if packed := k.GetPacked(); len(packed) > 0 {
			objects, err := unpack(packed)
			if err != nil {
				r.board.log.Warn("update from a peer cannot be decoded and is ignored", "peer", m.address,
					"kind", k.GetKind(), "error", err)
				continue
			}
			k.Objects = objects
		}
		l := m.kindUpdate(k)
		r.board.adjustForSuspension(&l)
		r.board.applyUpdate(now, l)
		if l.kind == objectapi.Backends {
			r.considerUpdate(now, &l)
		}
	}
}

// kindUpdate decodes the update of one kind. Its age counts from when the request was sent, so that network delay makes it
// appear older but never newer.
func (m *newsResult) kindUpdate(k *peerpb.KindNews) kindUpdate {
	kind := objectapi.Kind(k.GetKind())
	held, age := time.Duration(m.reply.GetHeldMs())*time.Millisecond, time.Duration(k.GetAgeMs())*time.Millisecond
	l := kindUpdate{
		kind: kind, complete: k.GetWhole(), baseRevision: m.knownRevisions[kind], revision: k.GetRevision(),
		asOf: m.sentAt.Add(held - age), suspendedAtCall: m.suspended,
		reader: k.GetReader(),
	}
	for _, o := range k.GetObjects() {
		l.events = append(l.events, objectapi.Event{
			Object:  objectapi.Object{Kind: kind, Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()},
			Deleted: o.GetDeleted(),
		})
	}
	return l
}

// considerUpdate decides whether an update from a peer makes reading the store unnecessary. Updates that this instance
// itself read and that came back through a peer do not.
func (r *newsSource) considerUpdate(now time.Time, l *kindUpdate) {
	if now.Sub(l.asOf) > r.pace.LimitOf(r.standing.Rank) || l.reader == r.self.Name {
		return
	}
	if r.board.storeUnavailable() || r.standing.YieldsTo(l.reader) {
		r.fire("outranked")
		return
	}
	r.fire("informed")
}

// handleRequest handles a request of a peer: it is answered at once or held until there is an update.
func (r *newsSource) handleRequest(now time.Time, m newsRequest) {
	q := heldRequest{newsRequest: m, receivedAt: now, deadline: now.Add(time.Duration(m.request.GetWaitMs()) * time.Millisecond)}
	if r.hasNews(&q) || !now.Before(q.deadline) {
		r.answer(now, &q)
		return
	}
	r.heldRequests = append(r.heldRequests, q)
}

// hasNews reports whether there are changes that the peer does not know, or the store has been read since the peer asked.
func (r *newsSource) hasNews(q *heldRequest) bool {
	if r.board.asOf[objectapi.Backends].After(q.receivedAt) {
		return true
	}
	for _, k := range q.request.GetKnown() {
		s := r.board.cache.ofKind(objectapi.Kind(k.GetKind()))
		if s.revision == 0 || s.revision <= k.GetRevision() {
			continue
		}
		if events, complete := s.changesSince(k.GetRevision()); complete || len(events) > 0 {
			return true
		}
	}
	return false
}

// answerHeld answers the held requests whose wait is over or for which there is an update.
func (r *newsSource) answerHeld(now time.Time) {
	stillHeld := r.heldRequests[:0]
	for i := range r.heldRequests {
		q := r.heldRequests[i]
		if now.Before(q.deadline) && !r.hasNews(&q) {
			stillHeld = append(stillHeld, q)
			continue
		}
		r.answer(now, &q)
	}
	r.heldRequests = stillHeld
}

// answer sends a peer what it does not know yet.
func (r *newsSource) answer(now time.Time, q *heldRequest) {
	reply := &peerpb.NewsReply{HeldMs: uint32(now.Sub(q.receivedAt).Milliseconds())}
	size := 0
	for _, k := range q.request.GetKnown() {
		kind := objectapi.Kind(k.GetKind())
		s := r.board.cache.ofKind(kind)
		if s.revision == 0 || s.revision < k.GetRevision() {
			continue
		}
		out := &peerpb.KindNews{
			Kind: k.GetKind(), Revision: s.revision, Reader: r.board.readBy[kind],
			AgeMs: uint32(now.Sub(r.board.asOf[kind]).Milliseconds()) + 1,
		}
		size += r.fill(out, s, k.GetRevision(), q.request.GetPacked())
		if size > maxNewsBytes && len(reply.Kinds) > 0 {
			break
		}
		reply.Kinds = append(reply.Kinds, out)
	}
	q.reply <- reply
}

// fill adds the objects of a kind that a peer does not know to its reply, and returns their size in bytes.
func (r *newsSource) fill(out *peerpb.KindNews, s *kindCache, known uint64, mayPack bool) int {
	events, complete := s.changesSince(known)
	out.Whole = complete
	size := 0
	for _, e := range events {
		size += len(e.Object.Value) + len(e.Object.Name)
		out.Objects = append(out.Objects, &peerpb.NewsObject{Name: e.Object.Name, Version: e.Object.Version,
			Value: e.Object.Value, Deleted: e.Deleted})
	}
	if !mayPack || size < minPackedBytes {
		return size
	}
	if complete {
		known = 0
	}
	packed, err := s.packedNews(known, out.Objects)
	if err != nil {
		r.board.log.Error("update for a peer cannot be compressed and is sent uncompressed", "kind", out.GetKind(), "error", err)
		return size
	}
	out.Objects, out.Packed = nil, packed
	return len(packed)
}
