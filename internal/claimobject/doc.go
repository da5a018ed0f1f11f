// Package claimobject encodes and decodes the objects of once-only claims in a compact binary form.
//
// An entry consists of a 16-byte digest, an 8-byte check, a 1-byte state and variable-length numbers for holder, attempt
// and expiry. Decoding rejects an unknown format, truncated data and trailing data.
package claimobject
