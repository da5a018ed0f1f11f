package cli

import (
	"context"
	"log/slog"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/demo"
)

// demo returns the command that runs a small fleet in this process.
func (t *tool) demo() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a small fleet on this machine under load, for at most 30 s",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "write the log of the instances to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := slog.New(slog.DiscardHandler)
			if c.Bool("verbose") {
				log = slog.New(slog.NewTextHandler(t.Err, nil))
			}
			return demo.Run(ctx, t.Out, log)
		},
	}
}
