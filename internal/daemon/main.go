package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/settings"
)

// Exit codes of the daemon.
const (
	exitOK = 0
	// exitInvalid means that the settings are invalid or an address cannot be listened on.
	exitInvalid = 1
	// exitUnfinished means that a graceful stop reached its time limit before all work had ended.
	exitUnfinished = 3
)

// Main runs the daemon with the arguments of the process and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	code := exitOK
	command := &cli.Command{
		Name: "fuchsiahubd", Usage: "load balancer for backend servers whose load changes within milliseconds",
		Writer: out, ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read the settings from `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Commands: []*cli.Command{gatewayCommand(out)},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("config") == "" {
				return errors.WithHint(errors.New("no settings file is given"), "give the settings file with --config FILE")
			}
			var err error
			code, err = run(ctx, c.String("config"), c.Bool("check"), errOut)
			return err
		},
	}
	if err := command.Run(ctx, args); err != nil {
		printError(errOut, err)
		return max(code, exitInvalid)
	}
	return code
}

// run loads the settings, runs the daemon unless they are only to be checked, and returns the exit code.
func run(ctx context.Context, path string, checkOnly bool, errOut io.Writer) (int, error) {
	s, err := settings.Load(path)
	if err != nil {
		return exitInvalid, err
	}
	if checkOnly {
		return exitOK, nil
	}
	d, err := New(s, logger(s.Log, errOut))
	if err != nil {
		return exitInvalid, err
	}
	if err := d.Run(ctx); err != nil {
		return exitUnfinished, err
	}
	return exitOK, nil
}

func logger(s settings.Log, out io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: s.Level}
	if s.Format == settings.FormatText {
		return slog.New(slog.NewTextHandler(out, options))
	}
	return slog.New(slog.NewJSONHandler(out, options))
}

func printError(out io.Writer, err error) {
	_, _ = fmt.Fprintln(out, "fuchsiahubd:", err) // an error on standard error cannot be reported anywhere
	for _, hint := range errors.GetAllHints(err) {
		_, _ = fmt.Fprintln(out, "remedy:", hint) // same
	}
}
