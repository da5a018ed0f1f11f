// Package examples holds the documents and settings of two deployments, for the demo and the tests.
package examples

import "embed"

// Files holds one folder per deployment.
//
//go:embed pecos pretha
var Files embed.FS
