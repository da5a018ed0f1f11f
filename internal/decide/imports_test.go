package decide_test

import (
	"go/build"
	"os"
	"path"
	"strings"
	"testing"
)

const module = "fuchsiahub.example/fuchsiahub/"

// forbidden lists the packages that would tie decisions to a transport, an encoding or the operating system.
var forbidden = []string{
	"net", "net/http", "os", "os/exec", "encoding/json", "encoding/gob", "encoding/xml", "syscall",
	"github.com/pelletier/go-toml/v2", "storj.io/drpc", "google.golang.org/protobuf", "github.com/cockroachdb/errors",
	module + "internal/peerpb", module + "internal/objecthttp", module + "internal/docfile", module + "internal/chartfile",
	module + "internal/settings", module + "internal/node", module + "internal/backend", module + "charts",
}

// allowedModulePackages lists the packages of this module that decision packages may import. An entry that ends in a slash
// allows the whole folder.
var allowedModulePackages = []string{
	"internal/chart", "internal/fault", "internal/document", "internal/call", "internal/fleet", "internal/decide/",
}

// Guards against a decision package that depends on HTTP, RPC, TOML or the operating system, so that a second front end
// could not use it. Imports within this module are followed. net/netip is allowed because it only parses addresses.
func TestDecisionsImportNoTransport(t *testing.T) {
	visited := map[string]bool{}
	var follow func(importPath, dir, from string)
	follow = func(importPath, dir, from string) {
		if visited[importPath] {
			return
		}
		visited[importPath] = true
		pkg, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatalf("%s: %v", dir, err)
		}
		for _, imported := range pkg.Imports {
			for _, prohibited := range forbidden {
				if imported == prohibited || strings.HasPrefix(imported, prohibited+"/") && strings.Contains(prohibited, ".") {
					t.Errorf("%s (reached from %s) imports %s", importPath, from, imported)
				}
			}
			if modulePath, ok := strings.CutPrefix(imported, module); ok {
				if !isAllowed(modulePath) {
					t.Errorf("%s (reached from %s) imports %s, which is not a decision package", importPath, from, imported)
					continue
				}
				follow(imported, path.Join("..", "..", modulePath), from)
			}
		}
	}
	packages := decisionPackages(t)
	if len(packages) < 3 {
		t.Fatalf("found only %d decision packages", len(packages))
	}
	for _, name := range packages {
		follow(module+"internal/decide/"+name, name, name)
	}
}

func isAllowed(modulePath string) bool {
	for _, prefix := range allowedModulePackages {
		if modulePath == prefix || strings.HasSuffix(prefix, "/") && strings.HasPrefix(modulePath, prefix) {
			return true
		}
	}
	return false
}
func decisionPackages(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names
}
