// Command fuchsiahubd is the load balancer daemon. Each process is one instance of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiahub.example/fuchsiahub/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
