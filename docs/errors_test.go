package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
)

// Guards against an error kind that the page does not list, one that is gone, a status that differs from the one that
// callers get, a kind without a remedy, and one that stands twice.
func TestErrorsPage(t *testing.T) {
	listed := rows(t)
	for _, kind := range kinds(t) {
		row, ok := listed[kind]
		if !ok {
			t.Errorf("docs/errors.md does not list kind %q", kind)
			continue
		}
		delete(listed, kind)
		status := strconv.Itoa(frontend.Status(fault.New(fault.Kind(kind), "", "")))
		if row[1] != status {
			t.Errorf("kind %q: the page says status %s, callers get %s", kind, row[1], status)
		}
		if row[3] == "" || row[4] == "" {
			t.Errorf("kind %q has no meaning or no remedy", kind)
		}
	}
	for kind := range listed {
		t.Errorf("docs/errors.md lists kind %q, which does not exist", kind)
	}
}

// rows returns the cells of the first table by kind.
func rows(t *testing.T) map[string][]string {
	t.Helper()
	text, err := os.ReadFile("errors.md")
	if err != nil {
		t.Fatal(err)
	}
	table, _, _ := strings.Cut(string(text), "\n## ")
	found := map[string][]string{}
	for _, line := range strings.Split(table, "\n") {
		cells := strings.Split(strings.Trim(line, "| "), "|")
		if len(cells) != 5 || !strings.Contains(cells[0], "`") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		kind := strings.Trim(cells[0], "`")
		if found[kind] != nil {
			t.Errorf("docs/errors.md lists kind %q twice", kind)
		}
		found[kind] = cells
	}
	return found
}

// kinds returns the kinds that the source of package fault declares.
func kinds(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../internal/fault/kinds.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for _, value := range spec.Values {
			kind, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, kind)
		}
		return true
	})
	if len(found) < 20 {
		t.Fatalf("only %d kinds were found", len(found))
	}
	return found
}
