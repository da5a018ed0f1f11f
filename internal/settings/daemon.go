package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Daemon holds the settings of one fuchsiahubd.
type Daemon struct {
	// Instance is the name of this instance, unique in the fleet. Required.
	Instance string
	// Region is the region of this instance, as the fleet document names it. Required.
	Region string
	// Zone is the availability zone of this instance, as the fleet document names it. Required.
	Zone string
	// CallerAddress is the IP address and port where callers are served. The address may be unspecified
	// ("0.0.0.0"); port zero takes a free port. Required.
	CallerAddress netip.AddrPort
	// PeerAddress is the IP address and port where other instances reach this one. The address must not be
	// unspecified, because peers are told of it; port zero takes a free port. Required.
	PeerAddress netip.AddrPort
	// OperationsAddress is the IP address and port of health, readiness, metrics and state. The address must not be
	// unspecified, because operators are told of it; port zero takes a free port. Required.
	OperationsAddress netip.AddrPort
	// Platform says how the platform is reached.
	Platform Platform
	// Log says what is logged and how.
	Log Log
	// Drain bounds a planned stop.
	Drain Drain
	// Claims holds the settings of once-only claims.
	Claims Claims
	// Probe bounds the load that measuring puts on backend servers.
	Probe Probe
	// TLS protects connections of callers and peers. Default none: connections are not encrypted.
	TLS TLS
}

// Platform says how the platform's object API is reached.
type Platform struct {
	// Address is the IP address and port of the object API. Required.
	Address netip.AddrPort
	// Register says whether the instance adds itself to the platform's list of instances. Default true; set it to
	// false when the platform does that.
	Register bool
}

// Log says what is logged and how.
type Log struct {
	// Level is the least level that is logged: debug, info, warn or error. Default info.
	Level slog.Level
	// Format is "json" (the default) or "text".
	Format string
}

// Drain bounds a planned stop.
type Drain struct {
	// Announce is how long the instance shows that it is not ready, and still accepts requests, before it stops
	// accepting. Default 5s. Zero means that it stops accepting at once.
	Announce time.Duration
	// Limit is the longest time for the whole stop, Announce included. Default 30s. Zero is refused: a stop
	// without a bound could last for ever.
	Limit time.Duration
}

// Claims holds the settings of once-only claims. They must be the same on all instances.
type Claims struct {
	// Key is the secret key of the digests that stand for once-only requests in the object API, 16 to 64 bytes, written
	// in hexadecimal. Required, unless KeyFile is given. Empty means that KeyFile is read.
	Key []byte
	// KeyFile is the path of a file that holds the key in hexadecimal. Empty (the default) means that Key is used.
	KeyFile string
	// WritesPerSecond is the most writes per second that the claims of the whole fleet may cost at the object API.
	// Default 200. Zero is refused, because no once-only request could run.
	WritesPerSecond int
	// Partitions is how many objects the claims are spread over. Default 4. Zero is refused.
	Partitions int
}

// Probe bounds the load that measuring puts on backend servers.
type Probe struct {
	// PerSecond is the most probes per second that one backend server gets, from 0 to 1. Default 1. Zero means that
	// servers are not probed and only answers tell their state.
	PerSecond float64
}

// Defaults of the settings.
const (
	DefaultFormat          = FormatJSON
	DefaultAnnounce        = 5 * time.Second
	DefaultLimit           = 30 * time.Second
	DefaultWritesPerSecond = 200
	DefaultPartitions      = 4
	DefaultProbePerSecond  = 1.0
)

// Formats of the log.
const (
	FormatJSON = "json"
	FormatText = "text"
)
