package cli

import (
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

func (t *tool) zone() *cli.Command {
	flags := func() []cli.Flag { return []cli.Flag{platformFlag(), operatorFlag(), t.jsonFlag()} }
	return &cli.Command{
		Name: "zone", Usage: "take an availability zone out of service, or bring it back",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "take a zone out of service; it stops getting new requests within 3 s after the change is in force", ArgsUsage: "ZONE",
				Flags: flags(), Action: t.editZones(takeOut),
			},
			{
				Name: "in", Usage: "bring a zone back into service; its traffic increases step by step", ArgsUsage: "ZONE",
				Flags: flags(), Action: t.editZones(bringIn),
			},
		},
		Action: missingSubcommand,
	}
}

// editZones returns an action that edits the list of zones that are out of service in the fleet document.
func (t *tool) editZones(edit func(*document.Fleet, string) ([]string, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.NArg() != 1 {
			return newUsageError("give one availability zone", "expected one zone, got %d", c.NArg())
		}
		p, err := openPlatform(c)
		if err != nil {
			return err
		}
		before, err := p.Get(ctx, objectapi.Fleet, document.FleetName)
		if err != nil {
			return err
		}
		fleet, err := docfile.ReadFleet("fleet", before.Value)
		if err != nil {
			return err
		}
		out, err := edit(fleet, c.Args().First())
		if err != nil {
			return err
		}
		value := before.Value
		if !slices.Equal(out, fleet.ZonesOut) {
			if value, err = docfile.SetZonesOut("fleet", before.Value, out); err != nil {
				return err
			}
		}
		return t.replaceDocument(ctx, p, before, value, c.String("by"))
	}
}

func takeOut(fleet *document.Fleet, zone string) ([]string, error) {
	if err := requireZone(fleet, zone); err != nil {
		return nil, err
	}
	if fleet.IsZoneOut(zone) {
		return fleet.ZonesOut, nil
	}
	out := append(slices.Clone(fleet.ZonesOut), zone)
	for _, r := range fleet.Regions {
		for _, z := range r.Zones {
			if !slices.Contains(out, z) {
				return out, nil
			}
		}
	}
	return nil, fault.New(fault.Invalid, "bring another zone back into service first, or apply a fleet document that takes all zones out of service",
		"zone %q is the last one in service", zone)
}

func bringIn(fleet *document.Fleet, zone string) ([]string, error) {
	if err := requireZone(fleet, zone); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Clone(fleet.ZonesOut), func(z string) bool { return z == zone }), nil
}

func requireZone(fleet *document.Fleet, zone string) error {
	if fleet.RegionOf(zone) == "" {
		return fault.New(fault.NotFound, "give a zone that the fleet document contains; print it with: fuchsiahub get fleet", "zone %q is not part of the fleet", zone)
	}
	return nil
}
