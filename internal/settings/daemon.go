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
	// CallerAddress is the IP address and port on which callers are served. The address may be unspecified ("0.0.0.0");
	// port zero selects a free port. Required.
	CallerAddress netip.AddrPort
	// PeerAddress is the IP address and port on which other instances are served. The address must not be unspecified,
	// because it is advertised to peers; port zero selects a free port. Required.
	PeerAddress netip.AddrPort
	// OperationsAddress is the IP address and port on which health, readiness, metrics and state are served. The address
	// must not be unspecified, because it is published for operators; port zero selects a free port. Required.
	OperationsAddress netip.AddrPort
	// Platform configures access to the object API of the platform.
	Platform Platform
	// Log sets the level and the format of the log.
	Log Log
	// Drain sets the time limits of a planned stop.
	Drain Drain
	// Claims holds the settings of once-only claims.
	Claims Claims
	// Probe limits the load that probes put on backend servers.
	Probe Probe
	// Memory limits the memory that requests take.
	Memory Memory
	// TLS configures encryption of connections with callers and peers. Default none: connections are not encrypted.
	TLS TLS
}

// Platform configures access to the object API of the platform.
type Platform struct {
	// Address is the IP address and port of the object API. Required.
	Address netip.AddrPort
	// Register makes the instance add itself to the platform's list of instances. Default true; set it to false if the
	// platform maintains the list.
	Register bool
}

// Log sets the level and the format of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error. Default info.
	Level slog.Level
	// Format is "json" (the default) or "text".
	Format string
}

// Drain sets the time limits of a planned stop.
type Drain struct {
	// Announce is how long the instance reports that it is not ready, but still accepts requests, before it stops
	// accepting them. Default 5s. Zero means that it stops accepting requests at once.
	Announce time.Duration
	// Limit is the maximum duration of the stop, including Announce. Default 30s. Zero is refused, because a stop
	// without a limit might never end.
	Limit time.Duration
}

// Claims holds the settings of once-only claims. They must be the same on all instances.
type Claims struct {
	// Key is the secret key of the digests that identify once-only requests in the object API: 16 to 64 bytes, written
	// in hexadecimal. Required unless KeyFile is set. Empty means that the key is read from KeyFile.
	Key []byte
	// KeyFile is the path of a file that contains the key in hexadecimal. Empty (the default) means that Key is used.
	KeyFile string
	// WritesPerSecond limits the rate of writes to the object API that claims cause, for the whole fleet. Default 200.
	// Zero is refused, because no once-only request could run.
	WritesPerSecond int
	// Partitions is the number of objects over which the claims are distributed. Default 4. Zero is refused.
	Partitions int
}

// Probe limits the load that probes put on backend servers.
type Probe struct {
	// PerSecond is the maximum rate of probes to one backend server, from 0 to 1 per second. Default 1. Zero means that
	// servers are not probed, and their state is known only from answers.
	PerSecond float64
}

// Memory limits the memory that requests take.
type Memory struct {
	// BodiesMB is the memory that the bodies of all requests may take together, in MiB, from 64, the largest body, to 1048576.
	// Default 256. What does not fit is refused as not run.
	BodiesMB int
}

// Defaults of the settings.
const (
	DefaultLogFormat       = FormatJSON
	DefaultDrainAnnounce   = 5 * time.Second
	DefaultDrainLimit      = 30 * time.Second
	DefaultWritesPerSecond = 200
	DefaultPartitions      = 4
	DefaultProbePerSecond  = 1.0
	DefaultBodiesMB        = 256
)

// Formats of the log.
const (
	FormatJSON = "json"
	FormatText = "text"
)
