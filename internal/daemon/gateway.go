package daemon

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/eventlog"
	"fuchsiahub.example/fuchsiahub/internal/gateway"
	"fuchsiahub.example/fuchsiahub/platform"
)

// gatewayCommand runs an instance with the settings that the platform wrote.
func gatewayCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "gateway", Usage: "serve on a platform whose backend servers register themselves in its store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the platform's settings from `FILE`", Value: platform.SettingsPath()},
			&cli.StringFlag{Name: "metrics", Usage: "serve counters and histograms on `ADDRESS`; empty serves none"},
			&cli.StringFlag{Name: "log-level", Usage: "write log lines from `LEVEL` on: debug, info, warn, error", Value: "info"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var level slog.Level
			if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
				return errors.WithHint(errors.Wrap(err, "log level is not valid"), "use debug, info, warn or error")
			}
			s, err := platform.ReadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			s.MetricsAddress = c.String("metrics")
			if c.Bool("check") {
				return s.Check()
			}
			return runGateway(ctx, s, out, level)
		},
	}
}

// runGateway runs until the context ends, then stops gracefully.
func runGateway(ctx context.Context, s gateway.Settings, out io.Writer, level slog.Level) error {
	log := eventlog.New(out, level)
	logCtx, endLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		log.Run(logCtx)
		close(logged)
	}()
	defer func() {
		endLog()
		<-logged
	}()
	g, err := gateway.New(s, platform.NewStore(s.StoreAddress), platform.Schema{Regions: s.Regions}, platform.Dialect{}, log.Logger())
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
