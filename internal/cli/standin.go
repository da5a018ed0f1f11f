package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/standin/backend"
	"fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// shutdownTimeout bounds how long a stopping stand-in waits for calls in flight.
const shutdownTimeout = time.Second

func (t *tool) standin() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run stand-ins for the object API and for backend servers, to try the load balancer on one machine",
		Commands: []*cli.Command{
			{
				Name: "objectapi", Usage: "run an object API that keeps its objects in memory, until it is interrupted",
				Flags: []cli.Flag{&cli.StringFlag{Name: "address", Usage: "IP address and port to listen on; port 0 selects a free port", Value: "127.0.0.1:7000"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return t.runObjectAPI(ctx, c.String("address"))
				},
			},
			{
				Name: "backend", Usage: "run a backend server, or all servers of a service document, until it is interrupted",
				Flags:  backendFlags(),
				Action: t.runBackends,
			},
		},
		Action: missingSubcommand,
	}
}

func (t *tool) runObjectAPI(ctx context.Context, address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	store := objectapi.New()
	server := &http.Server{Handler: objectapi.Handler(store), ReadHeaderTimeout: shutdownTimeout}
	group := task.NewGroup(ctx)
	group.Go("object API", store.Run)
	group.Go("HTTP", func(ctx context.Context) error { return serve(ctx, server, listener) })
	t.printf("listening on %s\n", listener.Addr())
	return group.Wait()
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stopped := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(stopCtx) != nil {
			_ = server.Close() // open watches do not end by themselves
		}
	})
	err := server.Serve(listener)
	if release() {
		return err
	}
	<-stopped
	return nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, newUsageError("give an unused IP address and port of this machine", "cannot listen on %q: %v", address, err)
	}
	return listener, nil
}

func backendFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "document", Usage: "path of a service document, whose servers are all run; replaces --address, --name, --slots, --connections and --cold-allowance"},
		&cli.StringFlag{Name: "address", Usage: "IP address and port to listen on; port 0 selects a free port", Value: "127.0.0.1:0"},
		&cli.StringFlag{Name: "name", Usage: "name that the server sends in the header Standin-Name", Value: "standin"},
		&cli.IntFlag{Name: "slots", Usage: "number of requests that run at the same time", Value: 6},
		&cli.IntFlag{Name: "queue", Usage: "number of requests that wait for a slot; further requests are shed", Value: 12},
		&cli.IntFlag{Name: "connections", Usage: "maximum number of open connections; 0: no limit", Value: document.DefaultConnections},
		&cli.DurationFlag{Name: "connect-cost", Usage: "time that it takes to accept one connection", Value: time.Millisecond},
		&cli.DurationFlag{Name: "median", Usage: "median of the service time", Value: 10 * time.Millisecond},
		&cli.FloatFlag{Name: "spread", Usage: "standard deviation of the logarithm of the service time", Value: 0.5},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the service times", Value: 1},
		&cli.IntFlag{Name: "cold-allowance", Usage: "number of requests that a cold server handles at the same time; 0: the server starts warm", Value: 1},
		&cli.IntFlag{Name: "warm-up", Usage: "number of requests that a cold server answers before it is ready", Value: 20},
		&cli.DurationFlag{Name: "down-time", Usage: "time after a crash during which the server accepts no connections", Value: time.Second},
		&cli.DurationFlag{Name: "drain", Usage: "time during which the server reports that it is draining before it stops", Value: 0},
	}
}

// backendSpec is the address and configuration of one stand-in backend server.
type backendSpec struct {
	address string
	options backend.Options
}

func (t *tool) runBackends(ctx context.Context, c *cli.Command) error {
	list, err := t.backendSpecs(c)
	if err != nil {
		return err
	}
	group := task.NewGroup(ctx)
	for _, s := range list {
		if err := t.runBackend(group, s, c.Duration("drain")); err != nil {
			group.Stop()
			return errors.Join(err, group.Wait())
		}
	}
	return group.Wait()
}

// backendSpecs returns the servers of the service document, or else the one that the flags describe.
func (t *tool) backendSpecs(c *cli.Command) ([]backendSpec, error) {
	options := backend.Options{
		Name: c.String("name"), Slots: c.Int("slots"), Queue: c.Int("queue"), Connections: c.Int("connections"),
		ConnectCost: c.Duration("connect-cost"), Median: c.Duration("median"), Spread: c.Float("spread"), Seed: c.Uint64("seed"),
		ColdAllowance: c.Int("cold-allowance"), WarmUp: c.Int("warm-up"), DownTime: c.Duration("down-time"),
	}
	path := c.String("document")
	if path == "" {
		return []backendSpec{{address: c.String("address"), options: options}}, nil
	}
	text, err := t.readFile(path)
	if err != nil {
		return nil, err
	}
	doc, err := docfile.ReadService(path, text)
	if err != nil {
		return nil, err
	}
	var list []backendSpec
	for i, s := range doc.Servers.List {
		options.Name, options.Slots, options.Seed = s.Name, doc.SlotsOf(s), c.Uint64("seed")+uint64(i)
		options.Connections, options.ColdAllowance = doc.Servers.Connections, doc.Servers.ColdAllowance
		list = append(list, backendSpec{address: s.Address, options: options})
	}
	return list, nil
}

// runBackend starts one server as a task of the group. The server listens on the same address after a crash.
func (t *tool) runBackend(group *task.Group, s backendSpec, drain time.Duration) error {
	server, err := backend.New(s.options)
	if err != nil {
		return err
	}
	first, err := listen(s.address)
	if err != nil {
		return err
	}
	address := first.Addr().String()
	reopen := func() (net.Listener, error) {
		if opened := first; opened != nil {
			first = nil
			return opened, nil
		}
		return listen(address)
	}
	group.Go(s.options.Name, func(ctx context.Context) error { return runAndDrain(ctx, server, reopen, drain) })
	t.printf("%s listening on %s\n", s.options.Name, address)
	return nil
}

// runAndDrain runs a server. When the context ends, the server reports that it is draining for the given time, then stops.
func runAndDrain(ctx context.Context, server *backend.Server, listener backend.ListenFunc, drain time.Duration) error {
	serverCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	release := context.AfterFunc(ctx, func() {
		defer stop()
		if drain <= 0 || server.Set(serverCtx, backend.Switches{Draining: true}) != nil {
			return
		}
		timer := time.NewTimer(drain)
		defer timer.Stop()
		<-timer.C
	})
	defer release()
	return server.Run(serverCtx, listener)
}
