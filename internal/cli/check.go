package cli

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

func (t *tool) check() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check documents and settings files without any connection", ArgsUsage: "FILE|FOLDER...",
		Description: "Service documents, fleet documents, lists of backend servers and settings files are told apart by their\n" +
			"content. The zones and regions of a file are checked against the fleet document of the same folder, or else against\n" +
			"the only one among the files. Of a folder, all files that end in .toml are checked.",
		Flags:  []cli.Flag{t.jsonFlag()},
		Action: t.runCheck,
	}
}

// checked is the result for one file.
type checked struct {
	File string `json:"file"`
	Kind string `json:"kind"`
	// Problem is null when the file is valid.
	Problem *problem `json:"problem"`
}

func (t *tool) runCheck(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return usage("name one or more files", "no file is given")
	}
	paths, err := tomlFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	texts, errs := t.readAll(paths)
	results := make([]checked, len(texts))
	for i, x := range texts {
		results[i] = checked{File: paths[i]}
		if x != nil {
			results[i].Kind = string(x.kind)
		}
		if errs[i] != nil {
			p := problemOf(errs[i])
			results[i].Problem = &p
		}
	}
	if t.json {
		if err := t.writeJSON(results); err != nil {
			return err
		}
		return silent(errors.Join(errs...))
	}
	for i, r := range results {
		if r.Problem == nil {
			t.printf("%s: valid %s\n", r.File, r.Kind)
			continue
		}
		t.report(errs[i])
	}
	return silent(errors.Join(errs...))
}

// tomlFiles replaces each folder by the files in it and below it that end in ".toml". "FOLDER/..." is read as FOLDER.
func tomlFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		path = strings.TrimSuffix(path, "/...")
		if info, err := os.Stat(path); err != nil || !info.IsDir() {
			files = append(files, path)
			continue
		}
		before := len(files)
		err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && filepath.Ext(file) == ".toml" {
				files = append(files, file)
			}
			return err
		})
		if err != nil {
			return nil, fault.Wrap(err, fault.NotFound, "name a folder that can be read", "folder %s", path)
		}
		if len(files) == before {
			return nil, fault.New(fault.NotFound, "name a folder with documents", "folder %s holds no file that ends in .toml", path)
		}
	}
	return files, nil
}

// readAll reads files and checks those that name zones and regions against a fleet document among them.
func (t *tool) readAll(paths []string) ([]*text, []error) {
	texts, errs := make([]*text, len(paths)), make([]error, len(paths))
	fleets := map[string]*document.Fleet{}
	var last *document.Fleet
	for i, path := range paths {
		texts[i], errs[i] = t.readText(path)
		if errs[i] == nil && texts[i].fleet != nil {
			last = texts[i].fleet
			fleets[filepath.Dir(path)] = last
		}
	}
	for i, path := range paths {
		fleet := fleets[filepath.Dir(path)]
		if fleet == nil && len(fleets) == 1 {
			fleet = last
		}
		if errs[i] == nil && fleet != nil {
			errs[i] = texts[i].checkPlaces(fleet)
		}
	}
	return texts, errs
}

// reported is an error that the user has seen already.
type reported struct{ error }

func silent(err error) error {
	if err == nil {
		return nil
	}
	return &reported{error: err}
}

// Unwrap returns the error, which gives the exit code.
func (r *reported) Unwrap() error { return r.error }
