package docs

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiahub.example/fuchsiahub/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fuchsiahub": func() {
			os.Exit(cli.Run(context.Background(), os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

// Guards against commands on the operators' pages that do not run, or that give another output than the page shows. Blocks
// marked "console" hold commands after "$ " and lines of their output; "..." stands for lines that are left out.
func TestCommandsOnPages(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	pages, err := filepath.Glob("operators/*.md")
	if err != nil {
		t.Fatal(err)
	}
	dir, commands := t.TempDir(), 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		script := scriptOf(string(text))
		commands += strings.Count(script, "\nexec ")
		name := strings.TrimSuffix(filepath.Base(page), ".md") + ".txtar"
		if err := os.WriteFile(filepath.Join(dir, name), []byte(script), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if commands < 8 {
		t.Errorf("only %d commands were found", commands)
	}
	testscript.Run(t, testscript.Params{Dir: dir, Setup: func(env *testscript.Env) error {
		env.Setenv("ROOT", root)
		env.Setenv("GORACE", "atexit_sleep_ms=0") // the race detector waits 1 s at each exit by default
		return nil
	}})
}

var console = regexp.MustCompile("(?ms)^```console\n(.*?)^```$")

// scriptOf returns the commands of a page as a script.
func scriptOf(page string) string {
	var script strings.Builder
	script.WriteString("cd $ROOT\n")
	for _, block := range console.FindAllStringSubmatch(page, -1) {
		for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
			switch command, ok := strings.CutPrefix(line, "$ "); {
			case ok:
				fmt.Fprintf(&script, "exec %s\n", command)
			case line != "...":
				fmt.Fprintf(&script, "stdout '^%s$'\n", strings.ReplaceAll(regexp.QuoteMeta(line), "'", "''"))
			}
		}
	}
	return script.String()
}
