#!/bin/sh
# Builds the stand-ins of the cases with the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness.rs
