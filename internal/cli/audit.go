package cli

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/audit"
)

func (t *tool) audit() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show changes made by operators, and automatic changes of the fleet with their causes",
		Flags: []cli.Flag{
			platformFlag(), t.jsonFlag(),
			&cli.StringFlag{Name: "service", Usage: "show only records of this service"},
			&cli.StringFlag{Name: "zone", Usage: "show only records of this availability zone"},
			&cli.StringFlag{Name: "since", Usage: `show only records since this time, such as "2026-05-04T10:00:00Z", or of at most this age, such as "2h"`},
			&cli.StringFlag{Name: "until", Usage: "show only records before this time or older than this age"},
		},
		Action: t.runAudit,
	}
}

func (t *tool) runAudit(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 0 {
		return newUsageError("select records with flags; run fuchsiahub audit --help to list them", "unexpected argument %q", c.Args().First())
	}
	p, err := openPlatform(c)
	if err != nil {
		return err
	}
	filter := audit.Filter{Service: c.String("service"), Zone: c.String("zone")}
	now := time.Now()
	if filter.Since, err = parseTimeOrAge(now, "since", c.String("since")); err != nil {
		return err
	}
	if filter.Until, err = parseTimeOrAge(now, "until", c.String("until")); err != nil {
		return err
	}
	found, err := audit.Read(ctx, p, filter)
	if err != nil {
		return err
	}
	if t.json {
		return t.writeJSON(found)
	}
	t.writeAudit(found)
	return nil
}

// parseTimeOrAge parses an RFC 3339 time, or an age, which is subtracted from now. An empty value gives the zero time.
func parseTimeOrAge(now time.Time, flag, value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	if age, err := time.ParseDuration(value); err == nil && age >= 0 {
		return now.Add(-age), nil
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return time.Time{}, newUsageError(`write a time such as "2026-05-04T10:00:00Z" or an age such as "2h"`, "flag --%s: %q is neither a time nor an age", flag, value)
	}
	return at, nil
}

func (t *tool) writeAudit(found audit.ReadResult) {
	for _, r := range found.Records {
		t.printf("%s  %s  %s\n", r.Time.Format(time.RFC3339), r.By, formatRecord(r))
		for _, line := range r.Lines {
			t.printf("    %s\n", line)
		}
	}
	if found.Dropped > 0 {
		t.printf("%d older records were dropped because the audit trail was full\n", found.Dropped)
	}
	if len(found.Malformed) > 0 {
		t.warnf("fuchsiahub: malformed audit segments were skipped: %s\n", strings.Join(found.Malformed, ", "))
	}
}

// formatRecord formats the action of a record, its subject and its cause.
func formatRecord(r audit.Record) string {
	parts := []string{string(r.Action)}
	for _, p := range []struct{ word, value string }{
		{"document", r.Document}, {"service", r.Service}, {"zone", r.Zone}, {"server", r.Server},
	} {
		if p.value != "" {
			parts = append(parts, p.word+" "+p.value)
		}
	}
	text := strings.Join(parts, ", ")
	if r.To > 0 {
		text += ", version " + number(r.From) + " to " + number(r.To)
	}
	if r.Cause != "" {
		text += ": " + r.Cause
	}
	return text
}
