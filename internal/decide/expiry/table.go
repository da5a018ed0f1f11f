package expiry

import (
	"slices"
	"time"
)

// Table holds values that each expire at a time. TakeExpired removes what it returns, whatever becomes of it then, so an
// expired value cannot keep the timer of its owner due. It is owned by one task.
type Table[K comparable, V any] struct{ entries map[K]tableEntry[V] }

type tableEntry[V any] struct {
	value     V
	expiresAt time.Time
}

// Expired is a value that has left a table.
type Expired[K comparable, V any] struct {
	Key   K
	Value V
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{entries: map[K]tableEntry[V]{}}
}

// Set puts a value in the place of an earlier one with the same key.
func (t *Table[K, V]) Set(key K, value V, expiresAt time.Time) {
	t.entries[key] = tableEntry[V]{value: value, expiresAt: expiresAt}
}

// Has reports whether there is a value with the key.
func (t *Table[K, V]) Has(key K) bool {
	_, has := t.entries[key]
	return has
}

// Take removes and returns the value with the key. It returns false if there is none.
func (t *Table[K, V]) Take(key K) (V, bool) {
	e, has := t.entries[key]
	delete(t.entries, key)
	return e.value, has
}

// Each calls a function for each value.
func (t *Table[K, V]) Each(do func(key K, value V, expiresAt time.Time)) {
	for key, e := range t.entries {
		do(key, e.value, e.expiresAt)
	}
}

// Len returns the number of values.
func (t *Table[K, V]) Len() int { return len(t.entries) }

// Next returns when the next value expires, and false if the table is empty.
func (t *Table[K, V]) Next() (time.Time, bool) {
	var next time.Time
	for _, e := range t.entries {
		if next.IsZero() || e.expiresAt.Before(next) {
			next = e.expiresAt
		}
	}
	return next, len(t.entries) > 0
}

// TakeExpired removes and returns the values that have expired, the earliest first.
func (t *Table[K, V]) TakeExpired(now time.Time) []Expired[K, V] {
	var keys []K
	for key, e := range t.entries {
		if !now.Before(e.expiresAt) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b K) int { return t.entries[a].expiresAt.Compare(t.entries[b].expiresAt) })
	var expired []Expired[K, V]
	for _, key := range keys {
		expired = append(expired, Expired[K, V]{Key: key, Value: t.entries[key].value})
		delete(t.entries, key)
	}
	return expired
}
