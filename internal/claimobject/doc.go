// Package claimobject reads and writes the objects of once-only claims in a compact binary form.
//
// An entry takes 16 bytes of digest, 8 of check, 1 of state and variable-length numbers for holder, attempt and expiry.
// Reading refuses an unknown format, truncated data and data that follows the end.
package claimobject
