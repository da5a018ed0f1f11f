package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// kindsByName maps the names used on the command line to the kinds of objects that operators may read.
var kindsByName = map[string]objectapi.Kind{
	"service": objectapi.Services, "services": objectapi.Services, "fleet": objectapi.Fleet,
	"backends": objectapi.Backends, "instance": objectapi.Instances, "instances": objectapi.Instances,
}

func kindOf(word string) (objectapi.Kind, error) {
	kind, ok := kindsByName[word]
	if !ok {
		return "", newUsageError("use service, fleet, backends or instance", "unknown kind %q", word)
	}
	return kind, nil
}

// object is the JSON form of an object.
type object struct {
	Kind    objectapi.Kind `json:"kind"`
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	// Text is the document exactly as it was applied.
	Text string `json:"text"`
}

func objectOf(o objectapi.Object) object {
	return object{Kind: o.Kind, Name: o.Name, Version: o.Version, Text: string(o.Value)}
}

func (t *tool) get() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print a document to standard output, and its version to standard error",
		ArgsUsage: "service NAME | fleet | backends SERVICE | instance NAME",
		Flags:     []cli.Flag{platformFlag(), t.jsonFlag()},
		Action:    t.runGet,
	}
}

func (t *tool) runGet(ctx context.Context, c *cli.Command) error {
	kind, err := kindOf(c.Args().First())
	if err != nil {
		return err
	}
	name := c.Args().Get(1)
	if kind == objectapi.Fleet && name == "" {
		name = document.FleetName
	}
	if name == "" || c.NArg() > 2 {
		return newUsageError("use: fuchsiahub get KIND NAME", "exactly one name is required")
	}
	p, err := openPlatform(c)
	if err != nil {
		return err
	}
	o, err := p.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	if t.json {
		return t.writeJSON(objectOf(o))
	}
	t.printf("%s", o.Value)
	t.warnf("version %d\n", o.Version)
	return nil
}

func (t *tool) list() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list documents or instances with their versions", ArgsUsage: "[services | fleet | backends | instances]",
		Flags:  []cli.Flag{platformFlag(), t.jsonFlag()},
		Action: t.runList,
	}
}

func (t *tool) runList(ctx context.Context, c *cli.Command) error {
	kinds := []objectapi.Kind{objectapi.Fleet, objectapi.Services, objectapi.Backends}
	if c.NArg() > 1 {
		return newUsageError("give one kind, or none to list all documents", "expected at most one kind, got %d", c.NArg())
	}
	if c.NArg() == 1 {
		kind, err := kindOf(c.Args().First())
		if err != nil {
			return err
		}
		kinds = []objectapi.Kind{kind}
	}
	p, err := openPlatform(c)
	if err != nil {
		return err
	}
	found := []object{}
	for _, kind := range kinds {
		objects, _, err := p.List(ctx, kind)
		if err != nil {
			return err
		}
		for _, o := range objects {
			found = append(found, objectOf(o))
		}
	}
	return t.writeList(found)
}

func (t *tool) writeList(found []object) error {
	if t.json {
		return t.writeJSON(found)
	}
	table := t.table("KIND", "NAME", "VERSION")
	for _, o := range found {
		row(table, o.Kind, o.Name, o.Version)
	}
	return table.Flush()
}

// table returns a writer for a table and writes its column headings.
func (t *tool) table(headings ...any) *tabwriter.Writer {
	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	row(w, headings...)
	return w
}

// row writes one row. Write errors are returned by Flush.
func row(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}
