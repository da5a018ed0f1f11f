#!/bin/sh
# Builds the program with the stand-ins of the cases. Its sources are kept as text, so that the checks of the tree do not take
# them for a package of the project.
set -e
cd "$(dirname "$0")/.."
root=$(pwd)
mkdir -p target/review
{
	printf '{"Replace": {'
	comma=
	for source in review/harness/*.go.txt; do
		printf '%s"%s/%s": "%s/%s"' "$comma" "$root" "${source%.txt}" "$root" "$source"
		comma=', '
	done
	printf '}}\n'
} > target/review/overlay.json
go build -tags review -overlay target/review/overlay.json -o target/review/harness ./review/harness
