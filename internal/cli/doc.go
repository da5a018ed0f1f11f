// Package cli holds the commands of fuchsiahub, the tool of operators.
//
// Operators drive the system only by editing documents; the tool writes them by conditional update, so that of two
// concurrent changes one is refused. Exit codes: 0 fine, 1 refused or invalid, 2 wrong usage, 3 unreachable or
// unknown whether a write took effect, 4 conflict with a concurrent change.
package cli
