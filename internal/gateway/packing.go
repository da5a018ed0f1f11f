package gateway

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

const (
	// minPackedBytes is the minimum size of an update that is compressed, in bytes. Below it, less than a packet is saved.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes is the maximum size of a decompressed list, in bytes: several times that of the largest intended
	// deployment, 1,500 backend servers.
	maxUnpackedBytes = 8 << 20
	// maxUnpackedObjects is the maximum number of objects in a decompressed list, several times that of the largest intended
	// deployment.
	maxUnpackedObjects = 20_000
)

// pack compresses a list of objects. Entries of one kind, and the rows of a configuration, are similar and compress well;
// traffic between regions is billed by the byte.
func pack(objects []*peerpb.NewsObject) ([]byte, error) {
	text, err := proto.Marshal(&peerpb.NewsObjects{Objects: objects})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "update cannot be encoded")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "update cannot be compressed")
	}
	if _, err = w.Write(text); err == nil {
		err = w.Close()
	}
	return out.Bytes(), err
}

// unpack decompresses a list of objects. It rejects lists that are too large.
func unpack(packed []byte) ([]*peerpb.NewsObject, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.BadPeer, "check the version of the peer", "update from a peer cannot be decoded")
	case len(text) > maxUnpackedBytes:
		return nil, fault.New(fault.BadPeer, "check the peer", "update from a peer has more than %d bytes", maxUnpackedBytes)
	}
	if count := countFields(text); count > maxUnpackedObjects {
		return nil, fault.New(fault.BadPeer, "check the peer", "update from a peer has %d objects, more than %d", count,
			maxUnpackedObjects)
	}
	var list peerpb.NewsObjects
	if err := proto.Unmarshal(text, &list); err != nil {
		return nil, fault.Wrap(err, fault.BadPeer, "check the version of the peer", "update from a peer cannot be decoded")
	}
	return list.GetObjects(), nil
}

// countFields returns the number of fields of an encoded message, up to the first that is malformed.
func countFields(text []byte) int {
	count := 0
	for len(text) > 0 {
		_, _, size := protowire.ConsumeField(text)
		if size < 0 {
			break
		}
		text = text[size:]
		count++
	}
	return count
}

// packedNews returns the changes after a revision in compressed form, or the complete list when the revision is zero. The
// last result is cached, since many peers ask for the same changes at the same time.
func (c *kindCache) packedNews(from uint64, objects []*peerpb.NewsObject) ([]byte, error) {
	revisions := revisionRange{from: from, to: c.position.Revision}
	if c.packedFor == revisions && len(c.packed) > 0 {
		return c.packed, nil
	}
	packed, err := pack(objects)
	if err == nil {
		c.packed, c.packedFor = packed, revisions
	}
	return packed, err
}
