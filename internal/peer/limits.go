package peer

import "time"

const (
	// MaxMessageBytes bounds one message: the largest value of the object API, 1 MiB, and its envelope.
	MaxMessageBytes = 1<<20 + 64<<10
	// maxErrorBytes bounds the text of an error that a peer sends.
	maxErrorBytes = 512

	// maxInbound bounds the connections that a server keeps open. A fleet of 200 opens a few from each peer.
	maxInbound = 2048
	// inboundIdle closes an inbound connection without calls. It is longer than outboundIdle, so that the client,
	// which knows whether a call is on its way, closes first.
	inboundIdle = 2 * time.Minute
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 10 * time.Second

	// clientCapacity and linkCapacity bound the calls that wait at the client and at one peer.
	clientCapacity = 1024
	linkCapacity   = 256
	// urgentConnections carry gossip and witness calls, which must not wait behind others.
	urgentConnections = 2
	// normalConnections carry all other calls. A claim waits about 20 ms for its commit, so eight connections carry
	// about 400 claims a second to one peer.
	normalConnections = 8
	// dialTimeout bounds opening a connection: 60 round trips between regions.
	dialTimeout = time.Second
	// outboundIdle closes a connection without calls, and a link without connections.
	outboundIdle = time.Minute
	// firstBackoff doubles with each failure to connect, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Timeouts of calls. A shorter deadline of the caller counts.
const (
	gossipTimeout    = time.Second
	witnessTimeout   = time.Second
	leaseTimeout     = time.Second
	strikeTimeout    = time.Second
	settleTimeout    = 2 * time.Second
	statusTimeout    = 2 * time.Second
	claimTimeout     = 5 * time.Second
	documentsTimeout = 5 * time.Second
	// newsTimeout is the time of a news call beyond the time for which its answer is held: 25 round trips between
	// regions.
	newsTimeout = 400 * time.Millisecond
)
