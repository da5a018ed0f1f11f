#!/bin/bash
# Builds the stand-ins of the cases of REPORT-2.md into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
{
  printf '{"Replace":{'
  separator=
  for source in review/harness-2/*.go.txt; do
    printf '%s"%s/%s":"%s/%s"' "$separator" "$root" "${source%.txt}" "$root" "$source"
    separator=,
  done
  printf '}}'
} > "$overlay"
go build -overlay "$overlay" -o target/harness-2 ./review/harness-2
