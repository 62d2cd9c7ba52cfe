#!/bin/sh
# Builds the stand-ins and cases of the second review, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases_2 review/cases_2.rs
