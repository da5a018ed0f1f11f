package gateway

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

const (
	// leastPacked is the least size of news that are packed, in bytes: below it the gain is less than a packet.
	leastPacked = 4 << 10
	// mostUnpacked bounds a list after unpacking, in bytes: several times that of the target size, 1,500 backend servers.
	mostUnpacked = 8 << 20
)

// pack compresses a list of objects. Entries of one kind are much alike, and so are the rows of a configuration; bytes between
// regions are billed.
func pack(objects []*peerpb.NewsObject) ([]byte, error) {
	text, err := proto.Marshal(&peerpb.NewsObjects{Objects: objects})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "news cannot be encoded")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "news cannot be compressed")
	}
	if _, err = w.Write(text); err == nil {
		err = w.Close()
	}
	return out.Bytes(), err
}

// unpack reverses pack. It refuses lists that are too large.
func unpack(packed []byte) ([]*peerpb.NewsObject, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.BadPeer, "check the version of the peer", "news of a peer cannot be read")
	case len(text) > mostUnpacked:
		return nil, fault.New(fault.BadPeer, "check the peer", "news of a peer have more than %d bytes", mostUnpacked)
	}
	var list peerpb.NewsObjects
	if err := proto.Unmarshal(text, &list); err != nil {
		return nil, fault.Wrap(err, fault.BadPeer, "check the version of the peer", "news of a peer cannot be read")
	}
	return list.GetObjects(), nil
}

// packedNews returns the news of a shelf since a revision, packed, or its whole list when that is zero. The last result is
// kept, since many peers ask for the same news at the same moment.
func (s *shelf) packedNews(from uint64, objects []*peerpb.NewsObject) ([]byte, error) {
	wanted := span{from: from, to: s.revision}
	if s.packedFor == wanted && len(s.packed) > 0 {
		return s.packed, nil
	}
	packed, err := pack(objects)
	if err == nil {
		s.packed, s.packedFor = packed, wanted
	}
	return packed, err
}
