package settings

import (
	"encoding/hex"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/tomlfile"
)

// Limits of the settings.
const (
	minKeyBytes        = 16
	maxKeyBytes        = 64
	maxNameBytes       = 63
	maxWritesPerSecond = 10_000
	maxPartitions      = 64
	maxDrain           = time.Hour
	minBodiesMB        = 64
	maxBodiesMB        = 1 << 20
)

// checker converts the decoded file to settings and collects the problems that it finds.
type checker struct{ problems []document.Problem }

func (c *checker) require(ok bool, key, value, remedy string) {
	if !ok {
		c.problems = append(c.problems, document.Problem{Key: key, Message: "value " + value + " is not valid", Remedy: remedy})
	}
}

func (c *checker) name(key, value string) string {
	c.require(validName(value), key, strconv.Quote(value), "use 1 to 63 lower-case letters, digits, dots and dashes")
	return value
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-' {
			return false
		}
	}
	return true
}

// address parses an IP address and port. Programs connect to an advertised address, so it must not be unspecified.
func (c *checker) address(key, value string, advertised bool) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	c.require(err == nil, key, strconv.Quote(value), `write an IP address and a port, such as "10.0.0.7:8080"`)
	if err == nil && advertised {
		c.require(!address.Addr().IsUnspecified(), key, strconv.Quote(value), "write an address that other machines can connect to")
	}
	return address
}

func (c *checker) integer(key string, value *int, fallback, lowest, highest int) int {
	n := orDefault(value, fallback)
	c.require(n >= lowest && n <= highest, key, strconv.Itoa(n), "use "+strconv.Itoa(lowest)+" to "+strconv.Itoa(highest))
	return n
}

func (c *checker) duration(key string, value *tomlfile.Duration, fallback, lowest, highest time.Duration) time.Duration {
	d := time.Duration(orDefault(value, tomlfile.Duration(fallback)))
	c.require(d >= lowest && d <= highest, key, strconv.Quote(d.String()), "use a duration from "+lowest.String()+" to "+highest.String())
	return d
}

func (c *checker) daemon(f file) *Daemon {
	return &Daemon{
		Instance: c.name("instance", f.Instance), Region: c.name("region", f.Region), Zone: c.name("zone", f.Zone),
		CallerAddress:     c.address("caller_address", f.CallerAddress, false),
		PeerAddress:       c.address("peer_address", f.PeerAddress, true),
		OperationsAddress: c.address("operations_address", f.OperationsAddress, true),
		Platform:          Platform{Address: c.address("platform.address", f.Platform.Address, true), Register: orDefault(f.Platform.Register, true)},
		Log:               c.log(f.Log), Drain: c.drain(f.Drain), Claims: c.claims(f.Claims), Probe: c.probe(f.Probe),
		Memory: Memory{BodiesMB: c.integer("memory.bodies_mb", f.Memory.BodiesMB, DefaultBodiesMB, minBodiesMB, maxBodiesMB)},
		TLS:    TLS{Callers: c.certificate("tls.callers", f.TLS.Callers, false), Peers: c.certificate("tls.peers", f.TLS.Peers, true)},
	}
}

func (c *checker) log(f logging) Log {
	l := Log{Format: orDefault(f.Format, DefaultLogFormat)}
	text := orDefault(f.Level, "info")
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	level, known := levels[text]
	c.require(known, "log.level", strconv.Quote(text), `use "debug", "info", "warn" or "error"`)
	c.require(l.Format == FormatJSON || l.Format == FormatText, "log.format", strconv.Quote(l.Format), `use "json" or "text"`)
	l.Level = level
	return l
}

func (c *checker) drain(f drain) Drain {
	d := Drain{
		Announce: c.duration("drain.announce", f.Announce, DefaultDrainAnnounce, 0, maxDrain),
		Limit:    c.duration("drain.limit", f.Limit, DefaultDrainLimit, time.Second, maxDrain),
	}
	c.require(d.Announce < d.Limit, "drain.limit", strconv.Quote(d.Limit.String()), "use more than drain.announce ("+d.Announce.String()+")")
	return d
}

func (c *checker) claims(f claims) Claims {
	out := Claims{
		KeyFile:         f.KeyFile,
		WritesPerSecond: c.integer("claims.writes_per_second", f.WritesPerSecond, DefaultWritesPerSecond, 1, maxWritesPerSecond),
		Partitions:      c.integer("claims.partitions", f.Partitions, DefaultPartitions, 1, maxPartitions),
	}
	c.require((f.Key == "") != (f.KeyFile == ""), "claims.key", redact(f.Key), "set exactly one of key and key_file, to the same key on all instances")
	if f.Key != "" {
		out.Key = c.key("claims.key", f.Key)
	}
	return out
}

// redact returns the text that stands for a secret value in error messages.
func redact(secret string) string {
	if secret == "" {
		return `""`
	}
	return "(not shown)"
}

func (c *checker) key(name, text string) []byte {
	key, err := hex.DecodeString(text)
	ok := err == nil && len(key) >= minKeyBytes && len(key) <= maxKeyBytes
	c.require(ok, name, redact(text), "write 16 to 64 bytes in hexadecimal, such as the output of: openssl rand -hex 32")
	return key
}

func (c *checker) probe(f probe) Probe {
	p := Probe{PerSecond: orDefault(f.PerSecond, DefaultProbePerSecond)}
	c.require(p.PerSecond >= 0 && p.PerSecond <= 1, "probe.per_second", strconv.FormatFloat(p.PerSecond, 'g', -1, 64), "use 0 to 1")
	return p
}

func (c *checker) certificate(key string, f certificate, needsAuthority bool) Certificate {
	used := f.CertificateFile != "" || f.KeyFile != "" || f.AuthorityFile != ""
	if used {
		c.require(f.CertificateFile != "", key+".certificate_file", `""`, "give the path of the certificate file, or remove ["+key+"]")
		c.require(f.KeyFile != "", key+".key_file", `""`, "give the path of the private key file, or remove ["+key+"]")
		c.require(!needsAuthority || f.AuthorityFile != "", key+".authority_file", `""`, "give the path of the file with the certificates that sign those of peers")
	}
	return Certificate(f)
}
