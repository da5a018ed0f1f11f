package peer

import (
	"errors"

	"storj.io/drpc/drpcerr"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// errorCodes maps error kinds to drpc error codes. A code on the wire never changes its meaning.
var errorCodes = map[fault.Kind]uint64{
	fault.Internal:         100,
	fault.BadPeer:          101,
	fault.Overloaded:       102,
	fault.Stopping:         103,
	fault.NotFound:         104,
	fault.StoreUnavailable: 105,
	fault.Conflict:         106,
	fault.Invalid:          107,
	fault.DeadlineExceeded: 108,
}

// encodeError converts the error of a handler to its wire form.
func encodeError(err error) error {
	e := fault.As(err)
	code, ok := errorCodes[e.Kind]
	if !ok {
		code = errorCodes[fault.Internal]
	}
	text := e.Error()
	return drpcerr.WithCode(errors.New(text[:min(len(text), maxErrorBytes)]), code)
}

// decodeError returns the error that a peer answered with, or nil when the error did not come from the peer's handler.
func decodeError(peer string, err error) *fault.Error {
	code := drpcerr.Code(err)
	if code == 0 {
		return nil
	}
	kind := fault.BadPeer
	for k, c := range errorCodes {
		if c == code {
			kind = k
		}
	}
	text := err.Error()
	return fault.New(kind, "see the log of the peer", "peer %s answered: %s", peer, text[:min(len(text), maxErrorBytes)])
}
