#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the standard library only, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
