package cli

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

func (t *tool) check() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check documents and settings files without any connection", ArgsUsage: "FILE...",
		Description: "Service documents, fleet documents, lists of backend servers and settings files are told apart by their\n" +
			"content. When a fleet document is among the files, the zones and regions of the others are checked against it.",
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
	texts, errs := t.readAll(c.Args().Slice())
	results := make([]checked, len(texts))
	for i, x := range texts {
		results[i] = checked{File: c.Args().Get(i)}
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

// readAll reads files and checks service documents against a fleet document among them.
func (t *tool) readAll(paths []string) ([]*text, []error) {
	texts, errs := make([]*text, len(paths)), make([]error, len(paths))
	var fleet *document.Fleet
	for i, path := range paths {
		texts[i], errs[i] = t.readText(path)
		if errs[i] == nil && texts[i].fleet != nil {
			fleet = texts[i].fleet
		}
	}
	for i, x := range texts {
		if errs[i] == nil && fleet != nil {
			errs[i] = x.checkPlaces(fleet)
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
