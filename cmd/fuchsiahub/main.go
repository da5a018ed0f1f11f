// Command fuchsiahub is the command-line tool for operators of the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiahub.example/fuchsiahub/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
