package node

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/claimobject"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// claimStore executes the effects of one partition as object API calls.
type claimStore struct {
	api objectapi.API
	id  once.PartitionID
}

// execute runs one effect. It returns nil for effects that have no answer, and for a failed deletion.
func (s claimStore) execute(ctx context.Context, e once.Effect) (once.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch e := e.(type) {
	case once.ReadHead:
		return storeFailedOnError(s.readHead(ctx))
	case once.ReadSegment:
		return storeFailedOnError(s.readSegment(ctx, e.Number))
	case once.WriteHead:
		return storeFailedOnError(s.writeHead(ctx, e))
	case once.WriteSegment:
		return storeFailedOnError(s.writeSegment(ctx, e))
	case once.DeleteSegment:
		return s.deleteSegment(ctx, e.Number)
	}
	return nil, nil
}

func storeFailedOnError(a once.StoreAnswer, err error) (once.StoreAnswer, error) {
	if err != nil {
		return once.StoreFailed{}, err
	}
	return a, nil
}

func (s claimStore) readHead(ctx context.Context) (once.StoreAnswer, error) {
	o, err := s.api.Get(ctx, objectapi.Claims, s.id.Name())
	if fault.Is(err, fault.NotFound) {
		return once.HeadRead{}, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := claimobject.ReadHead(o.Value)
	if err != nil {
		return nil, err
	}
	return once.HeadRead{Version: o.Version, Head: head}, nil
}

func (s claimStore) readSegment(ctx context.Context, number uint64) (once.StoreAnswer, error) {
	o, err := s.api.Get(ctx, objectapi.Claims, s.id.SegmentName(number))
	if fault.Is(err, fault.NotFound) {
		return once.SegmentRead{Number: number, Missing: true}, nil
	}
	if err != nil {
		return nil, err
	}
	entries, err := claimobject.ReadSegment(o.Value)
	if err != nil {
		return nil, err
	}
	return once.SegmentRead{Number: number, Entries: entries}, nil
}

func (s claimStore) writeHead(ctx context.Context, e once.WriteHead) (once.StoreAnswer, error) {
	value := claimobject.Head(e.Head)
	var o objectapi.Object
	var err error
	if e.Version == 0 {
		o, err = s.api.Create(ctx, objectapi.Claims, s.id.Name(), value)
	} else {
		o, err = s.api.Update(ctx, objectapi.Claims, s.id.Name(), e.Version, value)
	}
	return once.Written{Version: o.Version}, err
}

// writeSegment creates a segment. A segment that exists already counts as written.
func (s claimStore) writeSegment(ctx context.Context, e once.WriteSegment) (once.StoreAnswer, error) {
	_, err := s.api.Create(ctx, objectapi.Claims, s.id.SegmentName(e.Number), claimobject.Segment(e.Entries))
	if err != nil && !fault.Is(err, fault.Conflict) {
		return nil, err
	}
	return once.Written{}, nil
}

func (s claimStore) deleteSegment(ctx context.Context, number uint64) (once.StoreAnswer, error) {
	name := s.id.SegmentName(number)
	o, err := s.api.Get(ctx, objectapi.Claims, name)
	if err == nil {
		err = s.api.Delete(ctx, objectapi.Claims, name, o.Version)
	}
	if err != nil && !fault.Is(err, fault.NotFound) {
		return nil, err
	}
	return once.SegmentDeleted{Number: number}, nil
}
