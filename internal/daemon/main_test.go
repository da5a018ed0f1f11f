package daemon_test

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/daemon"
)

// Guards against a daemon that ignores the key file and therefore runs without the claims key.
func TestKeyFileIsRead(t *testing.T) {
	dir := t.TempDir()
	config, key := filepath.Join(dir, "settings.toml"), filepath.Join(dir, "key")
	text := strings.NewReplacer("KEY", key).Replace(`instance = "entry-1"
region = "permian"
zone = "permian-a"
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
operations_address = "127.0.0.1:0"
[platform]
address = "127.0.0.1:7000"
[claims]
key_file = "KEY"
`)
	check := func() int {
		return daemon.Main(t.Context(), []string{"fuchsiahubd", "--config", config, "--check"}, io.Discard, io.Discard)
	}
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := check(); code != 1 {
		t.Errorf("exit code %d without the key file", code)
	}
	if err := os.WriteFile(key, []byte("000102030405060708090a0b0c0d0e0f\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := check(); code != 0 {
		t.Errorf("exit code %d with the key file", code)
	}
}
