package gateway

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// configDecoder is the task that decodes configurations and builds their routing tables. Both take long for a large one, and
// the entries of backend servers must not wait for it.
type configDecoder struct {
	schema Schema
	// next holds the newest configuration until the task takes it. A configuration that is replaced before is not decoded.
	next chan objectapi.Object
	// adopted holds a configuration from a peer that is newer than that of the store.
	adopted chan objectapi.Object
	board   *task.Mailbox[any]
}

func newConfigDecoder(schema Schema, board *task.Mailbox[any]) *configDecoder {
	return &configDecoder{schema: schema, next: make(chan objectapi.Object, 1), adopted: make(chan objectapi.Object, 1), board: board}
}

// decodedConfig is the result of decoding a configuration.
type decodedConfig struct {
	object objectapi.Object
	// adopted is true if it comes from a peer that has it in force while the store holds an older one.
	adopted bool
	config  *fleet.Config
	table   *dispatch.Table
	err     error
	// decodeTime and tableTime are the durations of decoding and of building the routing table.
	decodeTime, tableTime time.Duration
}

// setNext replaces the configuration that is decoded next. Only the board calls it.
func (d *configDecoder) setNext(o objectapi.Object) { replaceNext(d.next, o) }

// setAdopted replaces the configuration from a peer that is decoded next. Only the board calls it.
func (d *configDecoder) setAdopted(o objectapi.Object) { replaceNext(d.adopted, o) }

// replaceNext replaces the element of a channel that has room for one and a single sender.
func replaceNext(next chan objectapi.Object, o objectapi.Object) {
	select {
	case <-next:
	default:
	}
	next <- o
}

// run is the body of the task.
func (d *configDecoder) run(ctx context.Context) error {
	for {
		select {
		case o := <-d.next:
			if d.board.Send(ctx, d.decode(o)) != nil {
				return nil // the instance is stopping
			}
		case o := <-d.adopted:
			result := d.decode(o)
			result.adopted = true
			if d.board.Send(ctx, result) != nil {
				return nil // same
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *configDecoder) decode(o objectapi.Object) decodedConfig {
	result := decodedConfig{object: o}
	began := time.Now()
	result.config, result.err = d.schema.Config(o)
	result.decodeTime = time.Since(began)
	if result.err != nil {
		return result
	}
	began = time.Now()
	result.table = dispatch.NewTable(result.config)
	result.tableTime = time.Since(began)
	return result
}
