package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/eventlog"
	"fuchsiahub.example/fuchsiahub/internal/gateway"
	"fuchsiahub.example/fuchsiahub/platform"
)

// gatewayCommand returns the command that runs an instance from the settings file of the platform.
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
			return runGateway(ctx, c.String("settings"), s, out, level)
		},
	}
}

// settingsPollInterval is the polling interval of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// logFlushTimeout bounds the flush of the log at exit, so that a blocked standard output does not delay the exit. The
// platform's stop timeout leaves this much time after the drain.
const logFlushTimeout = 250 * time.Millisecond

// gcPercent is the garbage collection target in percent of heap growth. Memory is billed by its peak and CPU time is cheap,
// so it is lower than Go's default of 100 (docs/measurements.md).
const gcPercent = 50

// memoryLimitShare is the share of the memory of the process above which the garbage collector runs more often.
const memoryLimitShare = 0.8

// runGateway runs the gateway until the context ends, then stops it gracefully.
func runGateway(ctx context.Context, path string, s gateway.Settings, out io.Writer, level slog.Level) error {
	debug.SetGCPercent(gcPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	}
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP) // the default action of SIGHUP terminates the process
	defer signal.Stop(hangUp)
	log := eventlog.New(out, level)
	logCtx, stopLog := context.WithCancel(context.Background())
	logEnded := make(chan struct{})
	go func() {
		log.Run(logCtx)
		close(logEnded)
	}()
	defer func() {
		stopLog()
		select {
		case <-logEnded:
		case <-time.After(logFlushTimeout):
		}
	}()
	logger := log.Logger()
	listeners, err := gateway.Listen(ctx, &s)
	if err != nil {
		return err
	}
	g, err := gateway.New(s, platform.NewStore(s.StoreAddress), platform.Schema{Regions: s.Regions}, platform.Dialect{}, logger)
	if err != nil {
		return err
	}
	go watchSettings(logCtx, path, hangUp, g, logger)
	return g.Run(ctx, listeners)
}

// watchSettings reloads the settings after a signal and when the settings file has changed.
func watchSettings(ctx context.Context, path string, hangUp <-chan os.Signal, g *gateway.Gateway, log *slog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loaded := fileVersionOf(path)
	for {
		select {
		case <-hangUp:
			log.Info("reloading the settings after SIGHUP")
		case <-ticker.C:
			if fileVersionOf(path) == loaded {
				continue
			}
		case <-ctx.Done():
			return
		}
		loaded = fileVersionOf(path)
		s, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("settings are not valid; the settings in force are kept", "error", err)
			continue
		}
		g.Reload(ctx, s)
	}
}

// fileVersion identifies a version of a file by size and modification time, without reading the file.
type fileVersion struct {
	size     int64
	modified time.Time
}

// fileVersionOf returns the current version of a file. It returns the zero value when the file cannot be accessed; reading
// the file then reports the error.
func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), modified: info.ModTime()}
}
