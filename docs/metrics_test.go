package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Guards against a metric that the page does not list, one that is gone, and one without a unit or a meaning.
func TestMetricsPage(t *testing.T) {
	text, err := os.ReadFile("metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string][]string{}
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if name := strings.TrimSpace(cells[0]); len(cells) == 4 && strings.HasPrefix(name, "`") {
			listed[fixedPart(strings.Trim(name, "`"))] = cells
		}
	}
	for name, file := range metricNames(t) {
		cells, ok := listed[name]
		if !ok {
			t.Errorf("docs/metrics.md does not list %q of %s", name, file)
			continue
		}
		delete(listed, name)
		for i, column := range []string{"name", "type", "unit", "meaning"} {
			if strings.TrimSpace(cells[i]) == "" {
				t.Errorf("docs/metrics.md: %q has no %s", name, column)
			}
		}
	}
	for name := range listed {
		t.Errorf("docs/metrics.md lists %q, which the code does not have", name)
	}
}

// fixedPart returns a name up to its first placeholder, which is in capital letters.
func fixedPart(name string) string {
	if i := strings.IndexFunc(name, func(r rune) bool { return r >= 'A' && r <= 'Z' }); i >= 0 {
		return name[:i]
	}
	return name
}

// metricNames returns the names in the code with the files that have them: constants that begin with Metric, and the
// texts that are passed to functions which register or look up a metric.
func metricNames(t *testing.T) map[string]string {
	t.Helper()
	names := map[string]string{}
	err := filepath.WalkDir("../internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			for _, name := range namesOf(n) {
				names[name] = path
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(names) < 10 {
		t.Fatalf("only %d names were found", len(names))
	}
	return names
}

// registering functions, with what they put before the name.
var registering = map[string]string{
	"counter": "", "histogram": "", "GetOrRegister": "", "GetOrRegisterCounter": "", "GetOrRegisterGauge": "",
	"GetOrRegisterHistogram": "", "Register": "", "Count": "control.", "Gauge": "control.",
}

func namesOf(n ast.Node) []string {
	var names []string
	switch n := n.(type) {
	case *ast.ValueSpec:
		for i, value := range n.Values {
			if name, ok := text(value); ok && strings.HasPrefix(n.Names[i].Name, "Metric") {
				names = append(names, name)
			}
		}
	case *ast.CallExpr:
		called, ok := n.Fun.(*ast.SelectorExpr)
		if !ok || len(n.Args) == 0 {
			return nil
		}
		before, registers := registering[called.Sel.Name]
		if name, ok := text(n.Args[0]); ok && registers {
			names = append(names, before+name)
		}
	}
	return names
}

// text returns a literal string, or the literal with which a sum of strings begins.
func text(e ast.Expr) (string, bool) {
	for {
		sum, ok := e.(*ast.BinaryExpr)
		if !ok {
			break
		}
		e = sum.X
	}
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}
