#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig/main.rs
