package node

import (
	"encoding/json"

	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// sessionValue is the JSON encoding of a session in the object API.
type sessionValue struct {
	Instance    string          `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Generation  uint64          `json:"generation"`
	Sequence    uint64          `json:"sequence"`
	State       string          `json:"state"`
	Witnesses   []identityValue `json:"witnesses,omitempty"`
	FencedBy    string          `json:"fenced_by,omitempty"`
}

type identityValue struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

var sessionStates = map[session.State]string{session.Active: "active", session.Renounced: "renounced", session.Fenced: "fenced"}

// maxNamedWitnesses bounds the witnesses of a decoded session: the current set and the set that replaces it.
const maxNamedWitnesses = 2 * session.MaxWitnesses

func encodeSession(r session.Record) ([]byte, error) {
	v := sessionValue{
		Instance: r.Instance, Incarnation: r.Incarnation, Generation: r.Generation, Sequence: r.Sequence,
		State: sessionStates[r.State], FencedBy: r.FencedBy,
	}
	for _, w := range r.Witnesses {
		v.Witnesses = append(v.Witnesses, identityValue(w))
	}
	return json.Marshal(v)
}

func decodeSession(o objectapi.Object) (session.Record, error) {
	var v sessionValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return session.Record{}, badSession(o, err)
	}
	r := session.Record{
		Identity:   session.Identity{Instance: v.Instance, Incarnation: v.Incarnation},
		Generation: v.Generation, Sequence: v.Sequence, FencedBy: v.FencedBy,
	}
	if v.Instance != o.Name || len(v.Witnesses) > maxNamedWitnesses {
		return session.Record{}, badSession(o, nil)
	}
	for _, w := range v.Witnesses {
		r.Witnesses = append(r.Witnesses, session.Identity(w))
	}
	for state, name := range sessionStates {
		if name == v.State {
			r.State = state
			return r, nil
		}
	}
	return session.Record{}, badSession(o, nil)
}

func badSession(o objectapi.Object, cause error) error {
	return fault.Wrap(cause, fault.Invalid, "delete the object after the instance has stopped", "object %s/%s version %d is not a session",
		o.Kind, o.Name, o.Version)
}
