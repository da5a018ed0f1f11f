// Package cli implements the commands of fuchsiahub, the command-line tool for operators.
//
// Operators control the system only by editing documents. The tool writes documents with conditional updates, so that
// one of two concurrent changes is refused. Exit codes: 0 success, 1 refused or invalid, 2 wrong usage, 3 a component is
// unreachable or it is unknown whether a write took effect, 4 conflict with a concurrent change.
package cli
