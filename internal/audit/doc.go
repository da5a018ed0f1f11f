// Package audit stores the audit trail: which operator changed which document, and which changes the fleet made by itself
// and why.
//
// Records are appended to segments, which are objects of kind audit. The segments of a partition form a ring: a new segment
// replaces the oldest one, and the number of dropped records is counted. A record contains no key, body or path of a
// request, so that it may be stored in any region. No decision depends on the trail: a record that cannot be written is
// dropped and counted, and nothing waits for it.
//
// Limits: a writer makes at most one write per pause (default 10 s) and buffers at most 1,000 records; a segment has at
// most 32 KiB and a partition 16 segments; there are 16 partitions for instances and 16 for operators.
package audit
