package gateway

import (
	"context"
	"math"
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
	// uselessNewsPause is the minimum time between two requests to a peer whose news brought nothing new.
	uselessNewsPause = 100 * time.Millisecond
	// minNewer is the minimum time by which news without changes has to be more recent than what is known. Less is within the
	// accuracy of ages.
	minNewer = 10 * time.Millisecond
	// maxNewsBytes is the maximum size of one reply to a peer; kinds that do not fit follow in the next reply.
	maxNewsBytes = 900 << 10
	// maxNewsWait is the maximum time for which the request of a peer is held, several times the wait that peers ask for.
	maxNewsWait = 10 * time.Second
	// maxPeersInOutage is the number of peers that are asked at a time while the store does not answer this instance, or does
	// not answer its calls for rare kinds.
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
		// known holds the positions that were known when the request was sent.
		known map[objectapi.Kind]objectapi.Position
		reply *peerpb.NewsReply
		err   error
	}
)

// heldRequest is a request of a peer that is held until there is an update or its wait is over.
type heldRequest struct {
	newsRequest
	receivedAt, deadline time.Time
}

// newsClient asks peers for store updates.
type newsClient interface {
	News(ctx context.Context, address string, in *peerpb.NewsRequest) (*peerpb.NewsReply, error)
}

// newsSource is the part of the board that decides whether store updates come from the store itself or from a peer. It is
// the context of charts/news.toml.
type newsSource struct {
	board  *board
	self   fleet.Instance
	limits news.AgeLimits
	client newsClient
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
	// position is the position of this instance in the order of its peers.
	position news.Position
	// inFlight holds the peers with a request in flight.
	inFlight map[string]bool
	// askedAt holds when each peer was last asked.
	askedAt map[string]time.Time
	// retryAt holds, for each peer that did not answer, the time from which it may be asked again.
	retryAt map[string]time.Time
	// uselessUntil holds, for each peer whose last reply brought nothing new, the time until which it is not asked again. It would
	// send the same at once.
	uselessUntil map[string]time.Time
	// heldRequests holds the requests of peers that are not answered yet.
	heldRequests []heldRequest
}

func newNewsSource(b *board, self fleet.Instance, settings *Settings, client newsClient) (*newsSource, error) {
	ch, err := charts.Load("news", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*newsSource]{
		Actions: map[string]func(*newsSource){
			"start_asking":  func(s *newsSource) { s.started = time.Now() },
			"start_reading": func(s *newsSource) { s.setReading(true) },
			"stop_reading":  func(s *newsSource) { s.setReading(false) },
		},
		Observe: func(s *newsSource, from, event, to string) {
			s.board.log.Info("source of news changed", "from", from, "event", event, "to", to, "rank", s.position.Rank,
				"age_ms", s.dataAge(time.Now()).Milliseconds(), "rare_age_ms", s.rareAge(time.Now()).Milliseconds())
		},
	})
	if err != nil {
		return nil, err
	}
	s := &newsSource{
		board: b, self: self, limits: news.NewAgeLimits(settings.Bounds.Drain, settings.Bounds.ConfigApply), client: client, seedTimeout: seedTimeout,
		seeds:  slices.DeleteFunc(slices.Clone(settings.Seeds), func(a string) bool { return a == self.Address }),
		isSeed: slices.Contains(settings.Seeds, self.Address), feeds: map[objectapi.Kind]*feed{},
		inFlight: map[string]bool{}, askedAt: map[string]time.Time{}, retryAt: map[string]time.Time{}, uselessUntil: map[string]time.Time{},
		sender: &peerpb.Sender{
			Instance: self.Name, Incarnation: self.Incarnation, Region: self.Place.Region, Zone: self.Place.Zone,
			Protocol: peer.ProtocolVersion,
		},
	}
	if settings.FirstStart {
		s.seedTimeout = seedTimeoutFirstStart
	}
	s.updatePosition()
	s.machine = bound.New(time.Now(), s)
	return s, nil
}

// setReading makes all feeds read the store, or stop doing so.
func (s *newsSource) setReading(active bool) {
	for kind, f := range s.feeds {
		f.setAssignment(assignment{active: active, position: s.board.cache.ofKind(kind).position})
	}
}

func (s *newsSource) fire(event string) {
	if err := s.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// dataAge returns the age of the entries of backend servers, the kind that changes most often.
func (s *newsSource) dataAge(now time.Time) time.Duration {
	asOf := s.board.asOf[objectapi.Backends]
	if asOf.IsZero() {
		return now.Sub(s.started) + s.limits.MaxLimit
	}
	return now.Sub(asOf)
}

// rareAge returns the age of the oldest rare kind. One that is not known yet is older than any limit.
func (s *newsSource) rareAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, kind := range rareKinds {
		age := s.board.ageOf(kind, now)
		if s.board.asOf[kind].IsZero() {
			age += s.limits.RareMaxLimit
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// updatePosition computes the position of this instance after a change of the list of instances.
func (s *newsSource) updatePosition() {
	instances := make([]fleet.Instance, 0, len(s.board.instances))
	for _, i := range s.board.instances {
		instances = append(instances, i)
	}
	s.position = news.NewPosition(instances, s.self)
}

// checkSource decides by the age of the updates whether to read the store, asks peers that are due and answers held
// requests.
func (s *newsSource) checkSource(ctx context.Context, now time.Time) {
	switch age := s.dataAge(now); {
	case s.board.asOf[objectapi.Backends].IsZero():
		if len(s.seeds) == 0 || s.isSeed || now.Sub(s.started) >= s.seedTimeout {
			s.fire("stale")
		}
	case age > s.limits.LimitOf(s.position.Rank), s.rareAge(now) > s.limits.RareLimitOf(s.position.Rank):
		s.fire("stale")
	}
	for _, address := range s.peersToAsk(now) {
		s.requestNews(ctx, now, address)
	}
	s.answerHeld(now)
}

// peersToAsk returns the addresses of the peers to ask now.
func (s *newsSource) peersToAsk(now time.Time) []string {
	switch {
	case s.machine.In("asking"):
		return s.availablePeers(now, s.seeds, len(s.seeds), 0)
	case s.machine.In("reading") && (s.board.storeUnavailable() || s.rareAge(now) > s.limits.RareMaxLimit):
		return s.availablePeers(now, s.allPeers(), maxPeersInOutage, peerCheckInterval)
	case s.machine.In("reading"):
		return s.availablePeers(now, addresses(s.position.Predecessors), 1, peerCheckInterval)
	}
	candidates := addresses(s.position.Predecessors)
	if len(candidates) == 0 {
		candidates = s.allPeers()
	}
	if len(candidates) == 0 {
		candidates = s.seeds // the first update may predate the entries of all other instances
	}
	count := 1
	if s.dataAge(now) > s.limits.AskNext || s.rareAge(now) > s.limits.RareAskNext {
		count = 2
	}
	return s.availablePeers(now, candidates, count, 0)
}

// allPeers returns the addresses of all peers, starting with those of the own region.
func (s *newsSource) allPeers() []string {
	var ownRegion, otherRegions []string
	for _, i := range s.board.instances {
		switch {
		case i.Name == s.self.Name:
		case i.Place.Region == s.self.Place.Region:
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

// availablePeers considers the first count peers of the list that are not in backoff. It returns those without a request in
// flight that were last asked at least minInterval ago.
func (s *newsSource) availablePeers(now time.Time, list []string, count int, minInterval time.Duration) []string {
	var chosen []string
	for _, address := range list {
		if count == 0 {
			break
		}
		if now.Before(s.retryAt[address]) || now.Before(s.uselessUntil[address]) {
			continue
		}
		count--
		if !s.inFlight[address] && now.Sub(s.askedAt[address]) >= minInterval {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// requestNews requests updates from a peer. The reply arrives as a message to the board.
func (s *newsSource) requestNews(ctx context.Context, now time.Time, address string) {
	request := &peerpb.NewsRequest{Sender: s.sender,
		WaitMs: uint32((s.limits.Period + peerCheckInterval/2).Milliseconds()), Packed: true}
	known := map[objectapi.Kind]objectapi.Position{}
	for _, kind := range followedKinds {
		known[kind] = s.board.cache.ofKind(kind).position
		if known[kind].Era == 0 && s.board.restoration.eras.Known() > 0 {
			known[kind] = objectapi.Position{} // a peer would take the revision for one of its era
		}
		k := &peerpb.KnownKind{Kind: string(kind), Revision: known[kind].Revision, Era: known[kind].Era}
		if kind == objectapi.Configuration && s.board.config != nil {
			k.ConfigVersion = uint64(s.board.config.Version)
		}
		request.Known = append(request.Known, k)
	}
	s.inFlight[address], s.askedAt[address] = true, now
	inbox, client, suspended := s.board.inbox, s.client, s.board.countedSuspension
	go func() {
		reply, err := client.News(ctx, address, request)
		_ = inbox.Send(ctx, newsResult{address: address, sentAt: now, suspended: suspended, known: known,
			reply: reply, err: err}) // fails only at shutdown
	}()
}

// handleResult handles the reply of a peer.
func (s *newsSource) handleResult(now time.Time, m newsResult) {
	delete(s.inFlight, m.address)
	if m.err != nil {
		if _, failing := s.retryAt[m.address]; !failing {
			s.board.log.Warn("peer does not answer a request for updates", "peer", m.address, "error", m.err)
		}
		s.retryAt[m.address] = now.Add(peerRetryDelay)
		if s.machine.In("asking") {
			s.retryAt[m.address] = now.Add(startRetryDelay)
		}
		return
	}
	if _, failed := s.retryAt[m.address]; failed {
		s.board.log.Info("peer answers requests for updates again", "peer", m.address)
		delete(s.retryAt, m.address)
	}
	// recent is the number of rare kinds of which the peer has passed on a recent state, servers its update of the servers.
	recent, servers := 0, (*kindUpdate)(nil)
	usable := false
	for _, k := range m.reply.GetKinds() {
		if !isFollowed(k.GetKind()) {
			continue
		}
		if packed := k.GetPacked(); len(packed) > 0 {
			objects, err := unpack(packed)
			if err != nil {
				s.board.log.Warn("update from a peer cannot be decoded and is ignored", "peer", m.address,
					"kind", k.GetKind(), "error", err)
				continue
			}
			k.Objects = objects
		}
		u := m.toKindUpdate(now, k)
		if u.position.Era == 0 && s.board.restoration.sawReturn() {
			continue // a peer of the release before does not tell the eras apart
		}
		s.board.adjustForSuspension(&u)
		before := s.board.asOf[u.kind]
		applied := s.board.applyUpdate(now, u)
		usable = usable || applied && (len(u.events) > 0 || s.board.asOf[u.kind].Sub(before) > minNewer)
		if u.position.Era == s.board.restoration.eras.Known() {
			s.board.restoration.adoptHolds(now, k)
		}
		if applied && slices.Contains(rareKinds, u.kind) && now.Sub(u.asOf) <= s.limits.RareLimitOf(s.position.Rank) {
			recent++
		}
		if u.kind == objectapi.Backends {
			servers = &u
		}
	}
	delete(s.uselessUntil, m.address)
	if !usable {
		s.uselessUntil[m.address] = m.sentAt.Add(uselessNewsPause)
	}
	if servers != nil && recent == len(rareKinds) {
		s.considerUpdate(now, servers)
	}
}

// isFollowed reports whether a kind that a peer names is one that instances follow. Another release may follow others.
func isFollowed(kind string) bool { return slices.Contains(followedKinds, objectapi.Kind(kind)) }

// toKindUpdate decodes the update of one kind. Its age counts from when the request was sent, so that network delay makes it
// appear older but never newer. A peer cannot have held the request for longer than the answer took.
func (m *newsResult) toKindUpdate(now time.Time, k *peerpb.KindNews) kindUpdate {
	kind := objectapi.Kind(k.GetKind())
	held, age := time.Duration(m.reply.GetHeldMs())*time.Millisecond, time.Duration(k.GetAgeMs())*time.Millisecond
	held = min(held, now.Sub(m.sentAt))
	u := kindUpdate{
		kind: kind, complete: k.GetWhole(), base: m.known[kind], position: objectapi.Position{Era: k.GetEra(), Revision: k.GetRevision()},
		asOf: m.sentAt.Add(held - age), suspendedAtCall: m.suspended,
		reader: k.GetReader(),
	}
	for _, o := range k.GetObjects() {
		u.events = append(u.events, objectapi.Event{
			Object:  objectapi.Object{Kind: kind, Name: o.GetName(), Version: o.GetVersion(), Era: k.GetEra(), Value: o.GetValue()},
			Deleted: o.GetDeleted(),
		})
	}
	return u
}

// considerUpdate decides whether an update of the servers, from a peer that also knows a recent state of the rare kinds, makes
// reading the store unnecessary. Updates that this instance itself read and that came back through a peer do not.
func (s *newsSource) considerUpdate(now time.Time, u *kindUpdate) {
	if now.Sub(u.asOf) > s.limits.LimitOf(s.position.Rank) || u.reader == s.self.Name {
		return
	}
	if s.board.storeUnavailable() || s.position.StopsReadingFor(u.reader) {
		s.fire("outranked")
		return
	}
	s.fire("informed")
}

// handleRequest handles a request of a peer: it is answered at once or held until there is an update.
func (s *newsSource) handleRequest(now time.Time, m newsRequest) {
	m.request.Known = slices.DeleteFunc(m.request.Known, func(k *peerpb.KnownKind) bool { return !isFollowed(k.GetKind()) })
	for _, k := range m.request.Known {
		s.board.restoration.handleVerdict(s.board.restoration.eras.Hint(now, k.GetEra()))
	}
	wait := min(time.Duration(m.request.GetWaitMs())*time.Millisecond, maxNewsWait)
	q := heldRequest{newsRequest: m, receivedAt: now, deadline: now.Add(wait)}
	if s.hasNews(&q) || !now.Before(q.deadline) {
		s.answer(now, &q)
		return
	}
	s.heldRequests = append(s.heldRequests, q)
}

// rareKindsReadSince reports whether a rare kind has been read since a time.
func (s *newsSource) rareKindsReadSince(t time.Time) bool {
	return slices.ContainsFunc(rareKinds, func(kind objectapi.Kind) bool { return s.board.asOf[kind].After(t) })
}

// hasNews reports whether there are changes that the peer does not know, or the store has been read since the peer asked.
func (s *newsSource) hasNews(q *heldRequest) bool {
	if s.board.asOf[objectapi.Backends].After(q.receivedAt) || s.rareKindsReadSince(q.receivedAt) {
		return true
	}
	for _, k := range q.request.GetKnown() {
		cached := s.board.cache.ofKind(objectapi.Kind(k.GetKind()))
		if !positionOf(k, cached).Before(cached.position) {
			continue
		}
		if events, complete := cached.changesSince(positionOf(k, cached)); complete || len(events) > 0 {
			return true
		}
	}
	return false
}

// positionOf returns the position that a peer has of a kind. A peer of the release before names no era and counts as one that
// knows that of the cache.
func positionOf(k *peerpb.KnownKind, cached *kindCache) objectapi.Position {
	return objectapi.Position{Era: k.GetEra(), Revision: k.GetRevision()}.In(cached.position.Era)
}

// answerHeld answers the held requests whose wait is over or for which there is an update.
func (s *newsSource) answerHeld(now time.Time) {
	stillHeld := s.heldRequests[:0]
	for i := range s.heldRequests {
		q := s.heldRequests[i]
		if now.Before(q.deadline) && !s.hasNews(&q) {
			stillHeld = append(stillHeld, q)
			continue
		}
		s.answer(now, &q)
	}
	s.heldRequests = stillHeld
}

// answer sends a peer what it does not know yet.
func (s *newsSource) answer(now time.Time, q *heldRequest) {
	reply := &peerpb.NewsReply{HeldMs: uint32(now.Sub(q.receivedAt).Milliseconds())}
	size := 0
	for _, k := range q.request.GetKnown() {
		kind := objectapi.Kind(k.GetKind())
		cached := s.board.cache.ofKind(kind)
		known := positionOf(k, cached)
		if cached.position.Revision == 0 || cached.position.Before(known) {
			continue
		}
		out := &peerpb.KindNews{
			Kind: k.GetKind(), Revision: cached.position.Revision, Era: cached.position.Era, Reader: s.board.readBy[kind],
			AgeMs: uint32(min(now.Sub(s.board.asOf[kind]).Milliseconds()+1, math.MaxUint32)),
		}
		added := s.addObjects(out, cached, known, q.request.GetPacked())
		added += s.board.restoration.addHolds(now, out, k)
		if size > 0 && size+added > maxNewsBytes {
			break
		}
		size += added
		reply.Kinds = append(reply.Kinds, out)
	}
	q.reply <- reply
}

// addObjects adds the objects of a kind that a peer does not know to its reply, and returns their size in bytes.
func (s *newsSource) addObjects(out *peerpb.KindNews, cached *kindCache, peerKnows objectapi.Position, mayPack bool) int {
	events, complete := cached.changesSince(peerKnows)
	known := peerKnows.Revision
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
	packed, err := cached.packedNews(known, out.Objects)
	if err != nil {
		s.board.log.Error("update for a peer cannot be compressed and is sent uncompressed", "kind", out.GetKind(), "error", err)
		return size
	}
	out.Objects, out.Packed = nil, packed
	return len(packed)
}
