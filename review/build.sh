#!/bin/sh
# Builds the stand-ins of the review's scripts. Run in the repository root, after the build of the deploy file.
set -eu
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standin -D warnings review/standin/main.rs
