package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Exit codes of the program.
const (
	exitSuccess     = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitConflict    = 4
)

// Streams are the standard streams of the program.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Run executes one command line and returns the exit code. The first argument is the program name.
func Run(ctx context.Context, args []string, streams Streams) int {
	t := &tool{Streams: streams}
	err := t.root().Run(ctx, args)
	if err == nil {
		return exitSuccess
	}
	var printed *reportedError
	if !errors.As(err, &printed) {
		t.printError(err)
	}
	return exitCode(err)
}

// tool holds the state of one execution of the program.
type tool struct {
	Streams
	// json selects JSON as the format of results and errors.
	json bool
}

// usageError is an error in the command line.
type usageError struct{ message, remedy string }

func (e *usageError) Error() string { return e.message }

func newUsageError(remedy, format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...), remedy: remedy}
}

func exitCode(err error) int {
	var u *usageError
	if errors.As(err, &u) {
		return exitUsage
	}
	switch fault.KindOf(err) {
	case fault.StoreUnavailable, fault.AmbiguousWrite, fault.PeerUnavailable:
		return exitUnreachable
	case fault.Conflict:
		return exitConflict
	}
	return exitRefused
}

// problem is the JSON form of an error.
type problem struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

func problemOf(err error) problem {
	var u *usageError
	if errors.As(err, &u) {
		return problem{Kind: "usage", Message: u.message, Remedy: u.remedy}
	}
	e := fault.As(err)
	message := e.Message
	if cause := e.Unwrap(); cause != nil {
		message += ": " + cause.Error()
	}
	return problem{Kind: string(e.Kind), Message: message, Remedy: e.Remedy}
}

func (t *tool) printError(err error) {
	p := problemOf(err)
	if t.json {
		_ = json.NewEncoder(t.Err).Encode(p) // a failure to write to standard error cannot be reported
		return
	}
	_, _ = fmt.Fprintln(t.Err, "fuchsiahub: "+p.Message)
	if p.Remedy != "" {
		_, _ = fmt.Fprintln(t.Err, "remedy: "+p.Remedy)
	}
}

// root returns the root command with all subcommands.
func (t *tool) root() *cli.Command {
	root := &cli.Command{
		Name: "fuchsiahub", Usage: "read and change the documents of a fuchsiahub load balancer, and show its state",
		Description: "Exit codes: 0 success, 1 refused or invalid, 2 wrong usage, 3 a component is unreachable or it is unknown\n" +
			"whether a write took effect, 4 conflict with a concurrent change.",
		Commands: []*cli.Command{
			t.check(), t.explain(), t.apply(), t.get(), t.list(), t.zone(), t.status(), t.audit(), t.trace(), t.standin(), t.demo(), Bench(),
		},
		Action: missingSubcommand,
	}
	t.setCommonOptions(root)
	return root
}

// setCommonOptions sets the options that are the same for all commands.
func (t *tool) setCommonOptions(c *cli.Command) {
	c.Writer, c.ErrWriter = t.Out, t.Err
	c.HideHelpCommand = true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {} // Run reports errors and returns the exit code
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return newUsageError("run "+c.FullName()+" --help", "%s", err)
	}
	for _, sub := range c.Commands {
		t.setCommonOptions(sub)
	}
}

// missingSubcommand is the action of a command that only groups subcommands.
func missingSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return newUsageError("run "+c.FullName()+" --help", "command %q does not exist", name)
	}
	return newUsageError("run "+c.FullName()+" --help", "no command is given")
}

func (t *tool) jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "write the result and errors as JSON", Destination: &t.json}
}

// writeJSON writes a result as indented JSON.
func (t *tool) writeJSON(value any) error {
	encoder := json.NewEncoder(t.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (t *tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Out, format, args...) // write errors, such as a closed pipe, are ignored
}

func (t *tool) warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Err, format, args...) // a failure to write to standard error cannot be reported
}
