package backend

import (
	"hash/maphash"
	"slices"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// maxRefusals is the number of refusals after which a connection is closed, so that its refusedIDs stay small.
const maxRefusals = 64

// refusedIDs holds the hashes of the ids of the requests that the server refused on one connection. Equal hashes of different
// ids only cost a new connection.
type refusedIDs []uint64

var refusedSeed = maphash.MakeSeed()

func (r *refusedIDs) add(id string) { *r = append(*r, maphash.String(refusedSeed, id)) }

func (r refusedIDs) contains(id string) bool {
	return len(r) > 0 && slices.Contains(r, maphash.String(refusedSeed, id))
}

// recordRefusal records that the server refused a request. It reports whether the connection may carry another one: a server may
// write a refusal once more, and without an id it would pass for the refusal of the next request.
func (c *connection) recordRefusal(req *call.Request, ownership Ownership) bool {
	if ownership == UnidentifiedAnswer {
		return false
	}
	if req.ID != "" {
		c.refused.add(req.ID)
	}
	return len(c.refused) < maxRefusals
}
