// Package audit keeps the trail of changes: who changed which document, and what the fleet changed by itself and why.
//
// Records are appended to segments, objects of kind audit. The segments of a partition form a ring: a new one replaces
// the oldest, and the trail says how many records were dropped. A record holds no key, body or path of a request, so
// it may be kept in any region. The trail explains and does not decide: a record that cannot be written is dropped and
// counted, and nothing waits for it.
//
// Limits: one writer makes at most one write per pause (default 10 s) and holds at most 1,000 records; a segment has
// at most 32 KiB and a partition 16 segments; there are 16 partitions for instances and 16 for operators.
package audit
