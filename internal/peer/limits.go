package peer

import "time"

const (
	// MaxMessageBytes bounds one message: the largest value of the object API, 1 MiB, and its envelope.
	MaxMessageBytes = 1<<20 + 64<<10
	// maxErrorBytes bounds the text of an error that a peer sends.
	maxErrorBytes = 512

	// maxInbound bounds the open inbound connections. In a fleet of 200 instances each peer opens a few.
	maxInbound = 2048
	// freeRequestBytes is the size of a request up to which its memory is not counted, longRequestBytes the memory that the rest
	// of all longer ones may take together.
	freeRequestBytes = 16 << 10
	longRequestBytes = 32 << 20
	// longRequestTimeout is the maximum time for a longer request, up to its answer.
	longRequestTimeout = 10 * time.Second
	// inboundIdle is the idle timeout of inbound connections. It is longer than outboundIdle, so that the client, which
	// knows whether a call is in flight, closes first.
	inboundIdle = 2 * time.Minute
	// writeTimeout bounds one write, because a peer may stop reading.
	writeTimeout = 10 * time.Second

	// clientCapacity and linkCapacity bound the calls that wait in the client and for one peer.
	clientCapacity = 1024
	linkCapacity   = 256
	// urgentConnections is the connection limit of gossip and witness calls, which must not wait behind others.
	urgentConnections = 2
	// normalConnections is the connection limit of all other calls. A claim waits about 20 ms for its commit, so eight
	// connections carry about 400 claims per second to one peer.
	normalConnections = 8
	// dialTimeout bounds opening a connection: 60 round trips between regions.
	dialTimeout = time.Second
	// outboundIdle is the idle timeout of connections without calls and of links without connections.
	outboundIdle = time.Minute
	// firstBackoff is the delay after the first failure to connect. It doubles with each further one, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Timeouts of calls. A shorter deadline of the caller takes precedence.
const (
	gossipTimeout    = time.Second
	witnessTimeout   = time.Second
	leaseTimeout     = time.Second
	strikeTimeout    = time.Second
	settleTimeout    = 2 * time.Second
	statusTimeout    = 2 * time.Second
	claimTimeout     = 5 * time.Second
	documentsTimeout = 5 * time.Second
	// newsTimeout is added to the time for which the peer may hold its answer: 25 round trips between regions.
	newsTimeout = 400 * time.Millisecond
)
