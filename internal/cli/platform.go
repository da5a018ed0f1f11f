package cli

import (
	"bytes"
	"context"
	"net/netip"

	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
)

const platformVariable = "FUCHSIAHUB_PLATFORM"

func platformFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "platform", Usage: "IP address and port of the platform's object API", Sources: cli.EnvVars(platformVariable),
	}
}

// platform adds the operations that the commands need to a client of the object API.
type platform struct{ objectapi.API }

func openPlatform(c *cli.Command) (*platform, error) {
	address := c.String("platform")
	if address == "" {
		return nil, newUsageError("give --platform ADDRESS or set "+platformVariable, "the address of the object API is missing")
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, newUsageError(`write an IP address and a port, such as "10.0.0.2:7000"`, "address %q of the object API is not valid", address)
	}
	return &platform{API: objecthttp.New(address, nil)}, nil
}

// put writes an object if it still has the given version; version zero means that it must not exist. If the answer to
// the write is lost, it reads the object to find out whether the write took effect.
func (p *platform) put(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	object, err := p.write(ctx, kind, name, version, value)
	if !fault.Is(err, fault.AmbiguousWrite) {
		return object, err
	}
	current, readErr := p.Get(ctx, kind, name)
	if readErr == nil && current.Version > version && bytes.Equal(current.Value, value) {
		return current, nil
	}
	return objectapi.Object{}, fault.Wrap(err, fault.AmbiguousWrite, "check with fuchsiahub get whether the change is stored, and apply it again if it is not",
		"it is not known whether the change of %s/%s took effect", kind, name)
}

func (p *platform) write(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	if version == 0 {
		return p.Create(ctx, kind, name, value)
	}
	return p.Update(ctx, kind, name, version, value)
}

// getOrEmpty returns an object. If it does not exist, the result has version zero.
func (p *platform) getOrEmpty(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	object, err := p.Get(ctx, kind, name)
	if fault.Is(err, fault.NotFound) {
		return objectapi.Object{Kind: kind, Name: name}, nil
	}
	return object, err
}

// fleet returns the stored fleet document, or nil if there is none.
func (p *platform) fleet(ctx context.Context) (*document.Fleet, error) {
	object, err := p.getOrEmpty(ctx, objectapi.Fleet, document.FleetName)
	if err != nil || object.Version == 0 {
		return nil, err
	}
	return docfile.ReadFleet("fleet", object.Value)
}

// service returns the stored document of a service.
func (p *platform) service(ctx context.Context, name string) (*document.Service, error) {
	object, err := p.Get(ctx, objectapi.Services, name)
	if err != nil {
		return nil, err
	}
	return docfile.ReadService("services/"+name, object.Value)
}
