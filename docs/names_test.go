package docs

import (
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	codeBlock   = regexp.MustCompile("(?s)```.*?```")
	inlineCode  = regexp.MustCompile("`([^`\n]+)`")
	identifier  = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)
	testFlag    = regexp.MustCompile(`-(run|bench) (?:'([^']+)'|([^ ]+))`)
	testWord    = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w+`)
	testFunc    = regexp.MustCompile(`func ((?:Test|Benchmark|Fuzz)\w+)`)
	placeholder = regexp.MustCompile(`^[A-Z]+$`) // such as NAME
)

// pageWords are words in inline code that name no part of the code.
var pageWords = []string{"bash", "buf", "generate", "curl", "fleetbench", "replay", "sniff", "buildvcs", "gcflags", "fmahash"}

// Guards against a page that names an identifier, a test or a file that the code does not have.
func TestNamesOnPages(t *testing.T) {
	source, paths := sourceTree(t)
	words, tests := map[string]bool{}, testFunc.FindAllStringSubmatch(source, -1)
	for _, w := range identifier.FindAllString(source, -1) {
		words[w] = true
	}
	checked := 0
	for path := range paths {
		if filepath.Ext(path) != ".md" || path == "CHANGELOG.md" {
			continue
		}
		page := read(t, "../"+path)
		for _, name := range testWord.FindAllString(page, -1) {
			if !slices.ContainsFunc(tests, func(f []string) bool { return strings.HasPrefix(f[1], name) }) {
				t.Errorf("%s: there is no test %s", path, name)
			}
		}
		for _, code := range inlineCode.FindAllStringSubmatch(codeBlock.ReplaceAllString(page, ""), -1) {
			checked++
			text := strings.ReplaceAll(code[1], `\|`, "|") // escaped in a table
			for _, flag := range testFlag.FindAllStringSubmatch(text, -1) {
				pattern := regexp.MustCompile(strings.Split(flag[2]+flag[3], "/")[0])
				matches := slices.ContainsFunc(tests, func(f []string) bool { return pattern.MatchString(f[1]) })
				if !matches && !strings.EqualFold(flag[3], "xxx") {
					t.Errorf("%s: no test matches %q", path, flag[2]+flag[3])
				}
				text = strings.Replace(text, flag[0], "", 1)
			}
			if name := strings.Trim(text, "/"); slices.Contains([]string{".go", ".toml", ".proto", ".md"}, filepath.Ext(name)) {
				if !fileExists(paths, name) {
					t.Errorf("%s: file %s does not exist", path, text)
				}
				continue
			}
			for _, w := range identifier.FindAllString(text, -1) {
				if len(w) > 2 && !words[w] && !placeholder.MatchString(w) && !slices.Contains(pageWords, w) {
					t.Errorf("%s: %q is not in the code: `%s`", path, w, code[1])
				}
			}
		}
	}
	if checked < 500 {
		t.Errorf("only %d names were found", checked)
	}
}

func fileExists(paths map[string]bool, name string) bool {
	name = name[strings.LastIndex(name, " ")+1:]
	for path := range paths {
		if path == name || strings.HasSuffix(path, "/"+name) || strings.Contains(name, "*") {
			return true
		}
	}
	return false
}

// sourceTree returns the text of all source files and the paths of all files.
func sourceTree(t *testing.T) (string, map[string]bool) {
	t.Helper()
	var source strings.Builder
	paths := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "target") {
			return filepath.SkipDir
		}
		if entry.IsDir() {
			source.WriteString(filepath.ToSlash(path) + "\n")
			return nil
		}
		path = strings.TrimPrefix(filepath.ToSlash(path), "../")
		paths[path] = true
		source.WriteString(path + "\n")
		switch filepath.Ext(path) {
		case ".go", ".toml", ".proto", ".txtar", ".yaml", ".txt":
			source.WriteString(read(t, "../"+path) + "\n")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return source.String(), paths
}
