#!/bin/sh
# Builds the stand-ins of the scripts in review/12 to review/15. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/world_3/main.rs -o target/review-3/world
