#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/rig-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = rig ] || rustc --edition 2024 -O -A warnings -o "target/review-2/$name" "$source"
done
