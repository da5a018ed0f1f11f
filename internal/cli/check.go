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
		Name: "check", Usage: "check documents and settings files offline", ArgsUsage: "FILE|FOLDER...",
		Description: "The content of a file shows whether it is a service document, a fleet document, a list of backend servers or a\n" +
			"settings file. Zones and regions are checked against the fleet document in the same folder. If there is none and the\n" +
			"files include exactly one fleet document, that one is used. In a folder, all files that end in .toml are checked.",
		Flags:  []cli.Flag{t.jsonFlag()},
		Action: t.runCheck,
	}
}

// checkResult is the result of checking one file.
type checkResult struct {
	File string `json:"file"`
	Kind string `json:"kind"`
	// Problem is null if the file is valid.
	Problem *problem `json:"problem"`
}

func (t *tool) runCheck(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return newUsageError("give one or more files or folders", "no file is given")
	}
	paths, err := tomlFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	inputs, errs := t.readAll(paths)
	results := make([]checkResult, len(inputs))
	for i, input := range inputs {
		results[i] = checkResult{File: paths[i]}
		if input != nil {
			results[i].Kind = string(input.kind)
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
		return markReported(errors.Join(errs...))
	}
	for i, r := range results {
		if r.Problem == nil {
			t.printf("%s: valid %s\n", r.File, r.Kind)
			continue
		}
		t.printError(errs[i])
	}
	return markReported(errors.Join(errs...))
}

// tomlFiles replaces each folder with the ".toml" files in it and its subfolders. "FOLDER/..." means the same as FOLDER.
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
			return nil, fault.Wrap(err, fault.NotFound, "check the path and the permissions of the folder", "folder %s cannot be read", path)
		}
		if len(files) == before {
			return nil, fault.New(fault.NotFound, "give a folder that contains documents", "folder %s contains no file that ends in .toml", path)
		}
	}
	return files, nil
}

// readAll reads files and checks their zones and regions against a fleet document among them, as the command's help says.
func (t *tool) readAll(paths []string) ([]*inputFile, []error) {
	inputs, errs := make([]*inputFile, len(paths)), make([]error, len(paths))
	fleets := map[string]*document.Fleet{}
	var last *document.Fleet
	for i, path := range paths {
		inputs[i], errs[i] = t.readInput(path)
		if errs[i] == nil && inputs[i].fleet != nil {
			last = inputs[i].fleet
			fleets[filepath.Dir(path)] = last
		}
	}
	for i, path := range paths {
		fleet := fleets[filepath.Dir(path)]
		if fleet == nil && len(fleets) == 1 {
			fleet = last
		}
		if errs[i] == nil && fleet != nil {
			errs[i] = inputs[i].checkPlaces(fleet)
		}
	}
	return inputs, errs
}

// reportedError is an error that has already been printed.
type reportedError struct{ error }

func markReported(err error) error {
	if err == nil {
		return nil
	}
	return &reportedError{error: err}
}

// Unwrap returns the printed error, from which the exit code follows.
func (r *reportedError) Unwrap() error { return r.error }
