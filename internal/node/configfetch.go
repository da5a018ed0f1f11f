package node

import (
	"context"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/config"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// maxReplyBytes bounds the size of the documents in one reply. A single document of 1 MiB still fits.
const maxReplyBytes = 1 << 20

// handlePeerVersion requests documents from a peer whose configuration differs. Only one request is in flight at a time.
func (c *Config) handlePeerVersion(ctx context.Context, m peerVersion) {
	if m.version.Digest == 0 {
		return // the peer has not reported its configuration
	}
	if !c.sources.shouldFetch(time.Now(), m.peer, m.version.Digest, c.set.Digest()) || c.fetching {
		return
	}
	c.fetching = true
	c.fetches.Inc(1)
	in := &peerpb.DocumentsRequest{Sender: c.options.Sender()}
	for _, v := range c.set.Versions() {
		in.Have = append(in.Have, &peerpb.DocumentVersion{Kind: v.Kind, Name: v.Name, Version: v.Version})
	}
	go func() {
		out, err := c.options.Peers.Documents(ctx, m.peer, in)
		_ = c.inbox.Send(context.Background(), fetchResult{peer: m.peer, digest: m.version.Digest, out: out, err: err}) // the task runs until its fetch has ended
	}()
}

// handleFetchResult handles the reply of a peer and offers its documents.
func (c *Config) handleFetchResult(m fetchResult) {
	c.fetching = false
	if m.err != nil {
		c.options.Log.Warn("documents could not be fetched from a peer", "peer", m.peer, "error", m.err)
		return
	}
	if i := slices.IndexFunc(m.out.GetDocuments(), isBadDocument); i >= 0 {
		c.options.Log.Warn("documents of a peer were refused", "peer", m.peer, "error", fault.New(fault.BadPeer,
			"check the version of the peer", "document %d has no valid kind, name or version", i))
		c.sources.markNothingNewer(m.peer, m.digest, c.set.Digest())
		return
	}
	before := c.set.Digest()
	for _, d := range m.out.GetDocuments() {
		c.offer(decodePeerDocument(d))
	}
	if c.set.Digest() == before {
		c.sources.markNothingNewer(m.peer, m.digest, before)
	}
	if c.set.Digest() == m.digest {
		c.sources.matched = true
	}
}

// isBadDocument reports whether a document of a peer violates the protocol.
func isBadDocument(d *peerpb.Document) bool {
	known := slices.Contains(configKinds, objectapi.Kind(d.GetKind()))
	return !known || d.GetName() == "" || d.GetVersion() == 0 || len(d.GetValue()) > objectapi.MaxValueBytes
}

// newerDocuments returns the documents that are newer than those of the peer.
func (c *Config) newerDocuments(in *peerpb.DocumentsRequest) *peerpb.DocumentsReply {
	have := make([]config.DocumentVersion, 0, len(in.GetHave()))
	for _, v := range in.GetHave() {
		have = append(have, config.DocumentVersion{Key: config.Key{Kind: v.GetKind(), Name: v.GetName()}, Version: v.GetVersion()})
	}
	out := &peerpb.DocumentsReply{}
	for _, o := range c.set.Newer(have, maxReplyBytes) {
		out.Documents = append(out.Documents, &peerpb.Document{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

func decodePeerDocument(d *peerpb.Document) config.Offer {
	if d.GetDeleted() {
		return config.Offer{Key: config.Key{Kind: d.GetKind(), Name: d.GetName()}, Version: d.GetVersion(), Deleted: true}
	}
	return decodeObject(objectapi.Object{Kind: objectapi.Kind(d.GetKind()), Name: d.GetName(), Version: d.GetVersion(), Value: d.GetValue()})
}

// decodeObject decodes a document. If the value is invalid, the offer holds the error.
func decodeObject(o objectapi.Object) config.Offer {
	offer := config.Offer{Key: config.Key{Kind: string(o.Kind), Name: o.Name}, Version: o.Version, Value: o.Value}
	offer.Content, offer.Invalid = decodeValue(o)
	if offer.Invalid != nil {
		offer.Content = nil
	}
	return offer
}

func decodeValue(o objectapi.Object) (any, error) {
	source := string(o.Kind) + "/" + o.Name
	switch o.Kind {
	case objectapi.Services:
		doc, err := docfile.ReadService(source, o.Value)
		if err == nil && doc.Name != o.Name {
			err = nameMismatch(source, doc.Name)
		}
		return doc, err
	case objectapi.Fleet:
		if o.Name != document.FleetName {
			return nil, fault.New(fault.Invalid, "delete the object", "%s: the only object of its kind is %s", source, document.FleetName)
		}
		return docfile.ReadFleet(source, o.Value)
	case objectapi.Backends:
		return docfile.ReadBackends(source, o.Value)
	}
	return nil, fault.New(fault.Invalid, "report this as a bug", "%s: kind is not configuration", source)
}

func nameMismatch(source, name string) error {
	return fault.New(fault.Invalid, "give the object and the document the same name", "%s: the document names service %q", source, name)
}
