package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testRow   = regexp.MustCompile("(?m)^\\| (`Test[^|]*)\\| `([^`|]*)` \\|")
	testName  = regexp.MustCompile("`(Test[A-Za-z]+)`")
	promise   = regexp.MustCompile(`(?m)^(P\d+)\. `)
	namedFile = regexp.MustCompile("`((?:internal|charts)/[a-z/]+\\.(?:go|toml))`")
)

// Guards against a promise without a section, and against a page that names tests, packages or files which have gone.
func TestPromisesPage(t *testing.T) {
	page, design := read(t, "promises.md"), read(t, "design.md")
	promises := promise.FindAllStringSubmatch(design, -1)
	if len(promises) < 11 {
		t.Fatalf("only %d promises were found", len(promises))
	}
	for _, p := range promises {
		if !strings.Contains(page, "\n## "+p[1]+". ") {
			t.Errorf("promise %s has no section", p[1])
		}
	}
	for _, row := range testRow.FindAllStringSubmatch(page, -1) {
		source := testsOf(t, "../"+row[2])
		for _, name := range testName.FindAllStringSubmatch(row[1], -1) {
			if !strings.Contains(source, "\nfunc "+name[1]+"(") {
				t.Errorf("package %s has no test %s", row[2], name[1])
			}
		}
	}
	for _, file := range namedFile.FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat("../" + file[1]); err != nil {
			t.Error(err)
		}
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func testsOf(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(dir + "/*_test.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%s has no tests: %v", dir, err)
	}
	var source strings.Builder
	for _, f := range files {
		source.WriteString(read(t, f))
	}
	return source.String()
}
