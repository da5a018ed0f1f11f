package settings

import "fuchsiahub.example/fuchsiahub/internal/tomlfile"

// file is the TOML form of Daemon. Pointers distinguish an absent key from a zero value.
type file struct {
	Instance          string    `toml:"instance"`
	Region            string    `toml:"region"`
	Zone              string    `toml:"zone"`
	CallerAddress     string    `toml:"caller_address"`
	PeerAddress       string    `toml:"peer_address"`
	OperationsAddress string    `toml:"operations_address"`
	Platform          platform  `toml:"platform"`
	Log               logging   `toml:"log"`
	Drain             drain     `toml:"drain"`
	Claims            claims    `toml:"claims"`
	Probe             probe     `toml:"probe"`
	Memory            memory    `toml:"memory"`
	TLS               tlsTables `toml:"tls"`
}

type platform struct {
	Address  string `toml:"address"`
	Register *bool  `toml:"register"`
}

type logging struct {
	Level  *string `toml:"level"`
	Format *string `toml:"format"`
}

type drain struct {
	Announce *tomlfile.Duration `toml:"announce"`
	Limit    *tomlfile.Duration `toml:"limit"`
}

type claims struct {
	Key             string `toml:"key"`
	KeyFile         string `toml:"key_file"`
	WritesPerSecond *int   `toml:"writes_per_second"`
	Partitions      *int   `toml:"partitions"`
}

type probe struct {
	PerSecond *float64 `toml:"per_second"`
}

type memory struct {
	BodiesMB *int `toml:"bodies_mb"`
}

type tlsTables struct {
	Callers certificate `toml:"callers"`
	Peers   certificate `toml:"peers"`
}

type certificate struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	AuthorityFile   string `toml:"authority_file"`
}

func orDefault[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
