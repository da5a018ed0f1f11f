// Package examples embeds the documents and settings of two deployments, for the demo and the tests.
package examples

import "embed"

// Files holds one folder for each deployment.
//
//go:embed pecos pretha
var Files embed.FS
