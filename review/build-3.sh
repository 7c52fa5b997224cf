#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 (review/rig-3) with rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/rig-3/main.rs -o target/review-3/rig
