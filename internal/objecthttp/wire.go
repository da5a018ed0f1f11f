package objecthttp

import (
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// PathPrefix is the path prefix of all objects.
const PathPrefix = "/v1/objects/"

// Item is the wire form of an object. Value is base64 in JSON.
type Item struct {
	Kind    objectapi.Kind `json:"kind"`
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	Value   []byte         `json:"value,omitempty"`
}

// List is the answer to a list call: all objects of a kind and the version at which a watch continues.
type List struct {
	Version uint64 `json:"version"`
	Objects []Item `json:"objects"`
}

// Write is the body of a create or update call.
type Write struct {
	Value []byte `json:"value"`
}

// Types of the lines of a watch.
const (
	LinePut     = "put"
	LineDeleted = "deleted"
	// LineBookmark is a heartbeat: the watch is alive and nothing has changed.
	LineBookmark = "bookmark"
)

// Line is one line of a watch.
type Line struct {
	Type   string `json:"type"`
	Object Item   `json:"object"`
}

// Problem is the body of an error answer.
type Problem struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// ReasonUnavailable means that the call had no effect.
const ReasonUnavailable = "unavailable"

// ItemOf returns the wire form of an object.
func ItemOf(o objectapi.Object) Item {
	return Item{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

func (i Item) object() objectapi.Object {
	return objectapi.Object{Kind: i.Kind, Name: i.Name, Version: i.Version, Value: i.Value}
}

// ValidName reports whether a kind or name may be a path segment: 1 to 253 lower-case letters, digits, dots and dashes,
// except "." and "..".
func ValidName(name string) bool {
	if name == "" || len(name) > 253 || name == "." || name == ".." {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-' {
			return false
		}
	}
	return true
}
