package node

import (
	"encoding/json"

	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// tableValue is the JSON form of a keeper table: the shards of one availability zone by service.
type tableValue struct {
	Shards map[string]entryValue `json:"shards"`
}

type entryValue struct {
	Holder      string      `json:"holder"`
	Incarnation uint64      `json:"incarnation"`
	Generation  uint64      `json:"generation"`
	Epoch       uint64      `json:"epoch"`
	Released    bool        `json:"released,omitempty"`
	Warm        []warmValue `json:"warm,omitempty"`
}

type warmValue struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation,omitempty"`
}

func encodeTable(t keeper.Table) ([]byte, error) {
	v := tableValue{Shards: make(map[string]entryValue, len(t.Entries))}
	for service, e := range t.Entries {
		out := entryValue{Holder: e.Instance, Incarnation: e.Incarnation, Generation: e.Generation, Epoch: e.Epoch, Released: e.Released}
		for _, w := range e.WarmServers {
			out.Warm = append(out.Warm, warmValue(w))
		}
		v.Shards[service] = out
	}
	return json.Marshal(v)
}

func decodeTable(o objectapi.Object) (keeper.Table, error) {
	var v tableValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return keeper.Table{}, fault.Wrap(err, fault.Invalid, "delete the object; the instances create it again",
			"object %s/%s version %d is not a keeper table", o.Kind, o.Name, o.Version)
	}
	t := keeper.Table{Zone: o.Name, Version: o.Version, Entries: make(map[string]keeper.Entry, len(v.Shards))}
	for service, e := range v.Shards {
		in := keeper.Entry{Epoch: e.Epoch, Released: e.Released}
		in.Owner = keeper.Owner{Identity: session.Identity{Instance: e.Holder, Incarnation: e.Incarnation}, Generation: e.Generation}
		for _, w := range e.Warm {
			in.WarmServers = append(in.WarmServers, keeper.WarmServer(w))
		}
		t.Entries[service] = in
	}
	return t, nil
}
