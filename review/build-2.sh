#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: the store, the servers and the clients are one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/cases-2/main.rs
