package cli

import (
	"bytes"
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/audit"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

func (t *tool) apply() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "create a document, or update it unless someone else has changed it", ArgsUsage: "FILE (- for standard input)",
		Description: "The update fails with exit code 4 when someone else has changed the document in the meantime: get the current\n" +
			"version, repeat the change and apply it.",
		Flags: []cli.Flag{
			platformFlag(), operatorFlag(), t.jsonFlag(),
			&cli.Uint64Flag{Name: "version", Usage: "version that the change is based on; 0: the document must not exist yet", DefaultText: "the current version"},
			&cli.StringFlag{Name: "service", Usage: "service of a list of backend servers"},
		},
		Action: t.runApply,
	}
}

func operatorFlag() cli.Flag {
	return &cli.StringFlag{Name: "by", Usage: "name of the operator, for the audit trail", Value: "unknown", Sources: cli.EnvVars("FUCHSIAHUB_BY", "USER")}
}

// applyResult is the result of a change in its JSON form.
type applyResult struct {
	Document string `json:"document"`
	// From is the version before the change; zero if the document is new.
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Changed is false if the stored document already had this content.
	Changed bool `json:"changed"`
}

func (t *tool) runApply(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return newUsageError("give the path of one file, or - for standard input", "expected one file, got %d", c.NArg())
	}
	p, err := openPlatform(c)
	if err != nil {
		return err
	}
	input, err := t.readInput(c.Args().First())
	if err != nil {
		return err
	}
	target, err := targetOf(input, c.String("service"))
	if err != nil {
		return err
	}
	if err := p.checkReferences(ctx, input); err != nil {
		return err
	}
	before, err := p.getOrEmpty(ctx, target.Kind, target.Name)
	if err != nil {
		return err
	}
	if c.IsSet("version") && c.Uint64("version") != before.Version {
		return conflictError(target, c.Uint64("version"), before.Version)
	}
	return t.replaceDocument(ctx, p, before, input.value, c.String("by"))
}

func conflictError(o objectapi.Object, basedOn, current uint64) error {
	return fault.New(fault.Conflict, "get the current version, repeat the change and apply it",
		"the change of %s/%s is based on version %d, but the current version is %d", o.Kind, o.Name, basedOn, current)
}

// targetOf returns the kind and name of the object that stores the document.
func targetOf(input *inputFile, service string) (objectapi.Object, error) {
	switch input.kind {
	case docfile.ServiceDocument:
		return objectapi.Object{Kind: objectapi.Services, Name: input.service.Name}, nil
	case docfile.FleetDocument:
		return objectapi.Object{Kind: objectapi.Fleet, Name: document.FleetName}, nil
	case docfile.BackendsDocument:
		if service == "" {
			return objectapi.Object{}, newUsageError("give --service NAME", "a list of backend servers does not name its service")
		}
		return objectapi.Object{Kind: objectapi.Backends, Name: service}, nil
	}
	return objectapi.Object{}, fault.New(fault.Invalid, "pass the settings file to the daemon with fuchsiahubd --config", "%s: a settings file cannot be applied, because it is not a document", input.source)
}

// checkReferences checks references to zones and regions: those of a service against the stored fleet document, and those
// of all stored services against a new fleet document.
func (p *platform) checkReferences(ctx context.Context, input *inputFile) error {
	if input.fleet != nil {
		return p.checkServices(ctx, input.fleet)
	}
	fleet, err := p.fleet(ctx)
	if err != nil || fleet == nil {
		return err
	}
	return input.checkPlaces(fleet)
}

func (p *platform) checkServices(ctx context.Context, fleet *document.Fleet) error {
	objects, _, err := p.List(ctx, objectapi.Services)
	if err != nil {
		return err
	}
	for _, o := range objects {
		source := "services/" + o.Name
		doc, err := docfile.ReadService(source, o.Value)
		if err != nil {
			continue // an invalid document is not in force, so its zones do not matter
		}
		if err := document.ProblemsError(source, doc.CheckLocations(fleet)); err != nil {
			return err
		}
	}
	return nil
}

// replaceDocument replaces the version of a document that was read, and records the change in the audit trail.
func (t *tool) replaceDocument(ctx context.Context, p *platform, before objectapi.Object, value []byte, by string) error {
	result := applyResult{Document: string(before.Kind) + "/" + before.Name, From: before.Version, Version: before.Version}
	if before.Version == 0 || !bytes.Equal(before.Value, value) {
		after, err := p.put(ctx, before.Kind, before.Name, before.Version, value)
		if err != nil {
			return err
		}
		result.Version, result.Changed = after.Version, true
		t.recordChange(ctx, p, before, after, by)
	}
	if t.json {
		return t.writeJSON(result)
	}
	switch {
	case !result.Changed:
		t.printf("%s: unchanged, version %d\n", result.Document, result.Version)
	case result.From == 0:
		t.printf("%s: created, version %d\n", result.Document, result.Version)
	default:
		t.printf("%s: updated from version %d to %d\n", result.Document, result.From, result.Version)
	}
	return nil
}

// recordChange adds the change to the audit trail. The document is already stored, so a failure here is only a warning.
func (t *tool) recordChange(ctx context.Context, p *platform, before, after objectapi.Object, by string) {
	r := audit.DocumentChangedRecord(before, after, by, time.Now())
	if _, err := audit.NewTrail(p, audit.OperatorPartitions, r.Document).Append(ctx, []audit.Record{r}, 0); err != nil {
		t.warnf("fuchsiahub: the change was stored, but could not be recorded in the audit trail: %v\n", err)
	}
}
