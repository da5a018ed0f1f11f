package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/ops"
)

const (
	// stateTimeout bounds the request for the state of one instance.
	stateTimeout = 3 * time.Second
	// maxStateBytes bounds the size of a state, which has about 400 bytes for each of up to 1,500 backend servers.
	maxStateBytes = 8 << 20
	// maxConcurrentQueries bounds how many instances are queried concurrently.
	maxConcurrentQueries = 16
)

func instanceFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "instance", Usage: "operations address of an instance; may be repeated (default: all instances that the platform lists)"}
}

// instanceReport is the state of one instance, or the reason why it could not be read.
type instanceReport struct {
	Address string     `json:"address"`
	State   *ops.State `json:"state"`
	// Problem is null if the instance answered.
	Problem *problem `json:"problem"`
	err     error
}

// queryInstances queries the instances that the flags name, or else those that the platform lists.
func queryInstances(ctx context.Context, c *cli.Command) ([]instanceReport, error) {
	addresses, err := operationsAddresses(ctx, c)
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, fault.New(fault.NotFound, "start an instance, or give its operations address with --instance ADDRESS", "the platform lists no running instance")
	}
	answers := make(chan instanceReport)
	for _, share := range distribute(addresses) {
		go queryEach(ctx, share, answers)
	}
	var all []instanceReport
	for range addresses {
		all = append(all, <-answers)
	}
	slices.SortFunc(all, func(a, b instanceReport) int { return strings.Compare(a.Address, b.Address) })
	return all, requireAnswer(all)
}

// distribute divides the addresses among the goroutines that query them.
func distribute(addresses []string) [][]string {
	out := make([][]string, min(maxConcurrentQueries, len(addresses)))
	for i, a := range addresses {
		out[i%len(out)] = append(out[i%len(out)], a)
	}
	return out
}

func queryEach(ctx context.Context, addresses []string, answers chan<- instanceReport) {
	for _, address := range addresses {
		state, err := readState(ctx, address)
		s := instanceReport{Address: address, State: state, err: err}
		if err != nil {
			p := problemOf(err)
			s.Problem = &p
		}
		answers <- s
	}
}

// requireAnswer returns an error if no instance answered.
func requireAnswer(all []instanceReport) error {
	for _, s := range all {
		if s.err == nil {
			return nil
		}
	}
	return all[0].err
}

func operationsAddresses(ctx context.Context, c *cli.Command) ([]string, error) {
	if flagAddresses := c.StringSlice("instance"); len(flagAddresses) > 0 {
		for _, address := range flagAddresses {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return nil, newUsageError(`write an IP address and a port, such as "10.0.0.7:8082"`, "address %q of an instance is not valid", address)
			}
		}
		return flagAddresses, nil
	}
	p, err := openPlatform(c)
	if err != nil {
		return nil, err
	}
	objects, _, err := p.List(ctx, objectapi.Instances)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, o := range objects {
		entry, err := docfile.ReadInstance("instances/"+o.Name, o.Value)
		if err == nil && !entry.Leaving && entry.OperationsAddress != "" {
			addresses = append(addresses, entry.OperationsAddress)
		}
	}
	return addresses, nil
}

func readState(ctx context.Context, address string) (*ops.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nil, unreachable(err, address)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return nil, unreachable(err, address)
	}
	defer func() { _ = response.Body.Close() }() // only read
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, unreachable(err, address)
	}
	var state ops.State
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, &state) != nil || state.Instance == "" {
		return nil, fault.New(fault.PeerUnavailable, "check that the address is the operations_address of an instance",
			"instance at %s returned status %d without a valid state", address, response.StatusCode)
	}
	return &state, nil
}

func unreachable(err error, address string) error {
	return fault.Wrap(err, fault.PeerUnavailable, "check the address, and that the instance is running", "instance at %s does not answer", address)
}
