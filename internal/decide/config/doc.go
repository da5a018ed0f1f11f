// Package config decides which version of each configuration document is in force at one instance.
//
// It promises that the version of a document in force only rises: older reads, stale lists and copies of peers never
// replace a later version or a deletion. It does not decode documents; the caller says whether a value is valid. It
// relies on the object API to assign versions that rise over all objects of a kind. A store that was set back to an
// older state is therefore ignored until its versions exceed those that were seen.
package config
