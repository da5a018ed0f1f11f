// Package site runs the systems around a fleet on loopback: a stand-in object API with the documents of one deployment,
// and a stand-in backend server on a free port for each server in the documents.
package site

import (
	"context"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/standin/backend"
	standinapi "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// Options configure the backend servers of a site.
type Options struct {
	// Services lists the names of the service documents, without ".toml".
	Services []string
	// Median and Spread are the parameters of the service time; see backend.Options.
	Median time.Duration
	Spread float64
	// Seed is the seed of the first server. Each further server has the next integer as its seed.
	Seed uint64
	// WarmUp is the number of requests that a cold server answers before it is ready.
	WarmUp int
	// DownTime is how long a server refuses connections after a crash.
	DownTime time.Duration
}

// Server is one backend server of the site.
type Server struct {
	*backend.Server
	Service, Name, Zone string
	Slots               int
	// stop shuts the server down after its running requests have finished.
	stop func()
}

// Site holds the stand-ins of one deployment while they run.
type Site struct {
	// Store is the object API, and Address the address where it listens.
	Store   *standinapi.Store
	Address string
	Servers []Server
	Fleet   *document.Fleet
	// Documents holds the text of each service document with the addresses of this site.
	Documents map[string][]byte
	// finalReports holds, by "service/name", the reports that StopServer returned.
	finalReports map[string]backend.Report
}

// Start runs a site as tasks of the group and stores its documents. Files is the folder of one deployment in package
// examples.
func Start(group *task.Group, files fs.FS, options Options) (*Site, error) {
	s := &Site{Store: standinapi.New(), Documents: map[string][]byte{}, finalReports: map[string]backend.Report{}}
	group.Go("object API", s.Store.Run)
	if err := s.serveStore(group); err != nil {
		return nil, err
	}
	text, err := fs.ReadFile(files, "fleet.toml")
	if err != nil {
		return nil, err
	}
	if s.Fleet, err = docfile.ReadFleet("fleet.toml", text); err != nil {
		return nil, err
	}
	if _, err := s.Store.Create(group.Context(), objectapi.Fleet, document.FleetName, text); err != nil {
		return nil, err
	}
	for _, name := range options.Services {
		if err := s.startService(group, files, name, options); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) serveStore(group *task.Group) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Address = listener.Addr().String()
	server := &http.Server{Handler: standinapi.Handler(s.Store), ReadHeaderTimeout: time.Second}
	group.Go("object API listener", func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })() // a failed close does not affect other tasks
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return nil
}

func (s *Site) startService(group *task.Group, files fs.FS, name string, options Options) error {
	file := path.Clean(name + ".toml")
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return err
	}
	doc, err := docfile.ReadService(file, text)
	if err != nil {
		return err
	}
	for _, server := range doc.Servers.List {
		address, err := s.startServer(group, doc, server, options)
		if err != nil {
			return err
		}
		text = []byte(strings.Replace(string(text), `"`+server.Address+`"`, `"`+address+`"`, 1))
	}
	s.Documents[name] = text
	_, err = s.Store.Create(group.Context(), objectapi.Services, name, text)
	return err
}

func (s *Site) startServer(group *task.Group, doc *document.Service, spec document.Server, options Options) (string, error) {
	server, err := backend.New(backend.Options{
		Name: spec.Name, Slots: doc.SlotsOf(spec), Queue: 2 * doc.SlotsOf(spec), Connections: doc.Servers.Connections,
		ConnectCost: time.Millisecond, Median: options.Median, Spread: options.Spread, Seed: options.Seed + uint64(len(s.Servers)),
		ColdAllowance: doc.Servers.ColdAllowance, WarmUp: options.WarmUp, DownTime: options.DownTime,
	})
	if err != nil {
		return "", err
	}
	initialListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := initialListener.Addr().String()
	serverCtx, stop := context.WithCancel(group.Context())
	s.Servers = append(s.Servers, Server{
		Server: server, Service: doc.Name, Name: spec.Name, Zone: spec.Zone, Slots: doc.SlotsOf(spec), stop: stop,
	})
	group.Go(spec.Name, func(context.Context) error {
		defer stop()
		return server.Run(serverCtx, func() (net.Listener, error) {
			if opened := initialListener; opened != nil {
				initialListener = nil
				return opened, nil
			}
			return net.Listen("tcp", address)
		})
	})
	return address, nil
}

// StopServer returns the current report of a server and begins to shut it down. The server stops after its running requests
// have finished; StopServer does not wait for that.
func (s *Site) StopServer(ctx context.Context, server Server) (backend.Report, error) {
	report, err := server.Report(ctx)
	if err != nil {
		return report, err
	}
	s.finalReports[server.Service+"/"+server.Name] = report
	server.stop()
	return report, nil
}

// Reports returns the report of each server by "service/name". For a stopped server it is the report that
// StopServer returned.
func (s *Site) Reports(ctx context.Context) (map[string]backend.Report, error) {
	reports := maps.Clone(s.finalReports)
	for _, server := range s.Servers {
		key := server.Service + "/" + server.Name
		if _, stopped := reports[key]; stopped {
			continue
		}
		report, err := server.Report(ctx)
		if err != nil {
			return nil, err
		}
		reports[key] = report
	}
	return reports, nil
}

// RunTwice returns the number of idempotency keys whose requests began to run more than once, over all servers.
func (s *Site) RunTwice(ctx context.Context) (int, error) {
	reports, err := s.Reports(ctx)
	if err != nil {
		return 0, err
	}
	runs := map[string]int{}
	for _, report := range reports {
		for key, n := range report.Runs {
			runs[key] += n
		}
	}
	repeated := 0
	for _, n := range runs {
		if n > 1 {
			repeated++
		}
	}
	return repeated, nil
}
