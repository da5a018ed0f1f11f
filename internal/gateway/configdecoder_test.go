package gateway

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// heldSchema decodes each configuration only when the test allows it.
type heldSchema struct {
	fakeSchema
	decoded chan fleet.Version
}

func (s heldSchema) Config(o objectapi.Object) (*fleet.Config, error) {
	config, err := s.fakeSchema.Config(o)
	s.decoded <- config.Version
	return config, err
}

func configurationUpdate(version uint64) kindUpdate {
	value := []byte(`{"Version":` + strconv.FormatUint(version, 10) + `}`)
	return kindUpdate{kind: objectapi.Configuration, complete: true, position: at(version), asOf: time.Now(), reply: make(chan updateReply, 1),
		events: []objectapi.Event{{Object: objectapi.Object{Kind: objectapi.Configuration, Name: configObject, Version: version, Value: value}}}}
}

// Guards against a server that is leaving and still gets requests, because its entry waits behind configurations that are
// decoded one after the other, also those that newer ones have replaced.
func TestEntriesDoNotWaitForConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		snapshots, b := newTestBoard(t, newFakeStore())
		schema := heldSchema{decoded: make(chan fleet.Version)}
		b.decoder.schema = schema
		go func() { _ = b.decoder.run(ctx) }() // it ends with the context
		go func() { _ = b.run(ctx) }()         // same
		for version := uint64(1); version <= 4; version++ {
			_ = b.inbox.Send(ctx, configurationUpdate(version)) // fails only when the context is done
			synctest.Wait()
		}
		_ = b.inbox.Send(ctx, kindUpdate{kind: objectapi.Backends, complete: true, position: at(9), asOf: time.Now(), reply: make(chan updateReply, 1),
			events: []objectapi.Event{{Object: objectapi.Object{Kind: objectapi.Backends, Name: "i-1", Version: 9,
				Value: []byte(`{"ID":"i-1","Service":"intake","Draining":true}`)}}}})
		synctest.Wait()
		if known := snapshots.Newest().Backends["intake"]; len(known) != 1 || !known[0].Draining {
			t.Errorf("while a configuration is decoded, the servers are %v, want i-1 that is leaving", known)
		}
		if snapshots.Newest().Config != nil || !snapshots.Newest().ConfigAsOf.IsZero() {
			t.Error("a configuration is in force before it was decoded")
		}
		var decoded []fleet.Version
		for range 2 {
			select {
			case version := <-schema.decoded:
				decoded = append(decoded, version)
			case <-time.After(time.Second):
			}
			synctest.Wait()
		}
		if len(decoded) != 2 || decoded[0] != 1 || decoded[1] != 4 {
			t.Errorf("versions %v were decoded, want the first and the newest", decoded)
		}
		snapshot := snapshots.Newest()
		if snapshot.Config == nil || snapshot.Config.Version != 4 || snapshot.ConfigAsOf.IsZero() {
			t.Errorf("configuration %+v as of %v is in force, want version 4", snapshot.Config, snapshot.ConfigAsOf)
		}
		select {
		case version := <-schema.decoded:
			t.Errorf("version %d was decoded as well", version)
		default:
		}
		cancel()
		synctest.Wait()
	})
}
