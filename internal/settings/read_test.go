package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/settings"
)

const minimalSettings = `
instance = "entry-1"
region = "permian"
zone = "permian-a"
caller_address = "0.0.0.0:8080"
peer_address = "10.0.0.7:8081"
operations_address = "10.0.0.7:8082"
[platform]
address = "10.0.0.2:7000"
[claims]
key = "000102030405060708090a0b0c0d0e0f"
`

// Guards against a default that differs from the one in the field's comment.
func TestDefaults(t *testing.T) {
	d, err := settings.Read("f.toml", []byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	if !d.Platform.Register || d.Log.Level != 0 || d.Log.Format != "json" || d.Drain.Announce != 5*time.Second || d.Drain.Limit != 30*time.Second {
		t.Errorf("platform, log or drain: %+v", d)
	}
	if len(d.Claims.Key) != 16 || d.Claims.WritesPerSecond != 200 || d.Claims.Partitions != 4 || d.Probe.PerSecond != 1 {
		t.Errorf("claims or probe: %+v", d)
	}
}

// Guards against an invalid setting that is accepted, and against an error without the file, the key or the remedy.
func TestRefusals(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", `[claims]`, "[claims]\nkeys = 1", `f.toml:11: unknown key "claims.keys"`},
		{"wrong type", `zone = "permian-a"`, `zone = 7`, `f.toml:4: key "zone"`},
		{"bad name", `"entry-1"`, `"Entry 1"`, `instance: value "Entry 1" is not valid`},
		{"host name", `"10.0.0.7:8081"`, `"peer:8081"`, `peer_address: value "peer:8081" is not valid`},
		{"unspecified peer", `"10.0.0.7:8081"`, `"0.0.0.0:8081"`, `peer_address: write an address that other machines can connect to`},
		{"no key", `key = `, "#", `claims.key: set exactly one of key and key_file`},
		{"short key", `0f"`, `"`, `claims.key: value (not shown) is not valid`},
		{"zero writes", `[claims]`, "[claims]\nwrites_per_second = 0", `claims.writes_per_second: value 0 is not valid`},
		{"fast probes", `[claims]`, "[probe]\nper_second = 2.0\n[claims]", `probe.per_second: use 0 to 1`},
		{"short limit", `[claims]`, "[drain]\nlimit = \"5s\"\n[claims]", `drain.limit: use more than drain.announce (5s)`},
		{"no unit", `[claims]`, "[drain]\nlimit = \"5\"\n[claims]", `f.toml:11: key "drain.limit": toml: duration "5" is not valid`},
		{"log level", `[claims]`, "[log]\nlevel = \"loud\"\n[claims]", `log.level: value "loud" is not valid`},
		{"half of TLS", `[claims]`, "[tls.peers]\nkey_file = \"k\"\n[claims]", `tls.peers.certificate_file: value "" is not valid`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Read("f.toml", []byte(strings.Replace(minimalSettings, test.old, test.new, 1)))
			if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "remedy") {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

// Guards against a key file whose content is not read or not validated.
func TestKeyFile(t *testing.T) {
	dir := t.TempDir()
	key, file := filepath.Join(dir, "key"), filepath.Join(dir, "f.toml")
	text := strings.Replace(minimalSettings, `key = "000102030405060708090a0b0c0d0e0f"`, `key_file = "`+key+`"`, 1)
	writeFile(t, file, text)
	if _, err := settings.Load(file); !fault.Is(err, fault.Invalid) {
		t.Errorf("missing key file: %v", err)
	}
	writeFile(t, key, "zz\n")
	if _, err := settings.Load(file); !fault.Is(err, fault.Invalid) {
		t.Errorf("malformed key: %v", err)
	}
	writeFile(t, key, "000102030405060708090a0b0c0d0e0f\n")
	d, err := settings.Load(file)
	if err != nil || len(d.Claims.Key) != 16 {
		t.Errorf("key %x, error %v", d.Claims.Key, err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against input that makes Read panic, return an error of the wrong kind, or accept settings out of range.
func FuzzRead(f *testing.F) {
	f.Add([]byte(minimalSettings))
	for _, path := range []string{"../../examples/pecos/settings.toml", "../../examples/pretha/settings.toml"} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := settings.Read("f.toml", text)
		if err != nil {
			if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), "f.toml") {
				t.Errorf("got %v", err)
			}
			return
		}
		hasKey := len(d.Claims.Key) >= 16 || d.Claims.KeyFile != ""
		if !d.PeerAddress.IsValid() || !hasKey || d.Drain.Announce >= d.Drain.Limit || d.Probe.PerSecond > 1 || d.Claims.Partitions < 1 {
			t.Errorf("accepted %+v", d)
		}
	})
}
