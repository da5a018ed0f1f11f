package cli

import (
	"context"
	"log/slog"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/demo"
)

// demo is the command that shows a small fleet at work.
func (t *tool) demo() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "show a small fleet at work on this machine, for at most 30 s",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "write the log of the instances to the standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := slog.New(slog.DiscardHandler)
			if c.Bool("verbose") {
				log = slog.New(slog.NewTextHandler(t.Err, nil))
			}
			return demo.Run(ctx, t.Out, log)
		},
	}
}
