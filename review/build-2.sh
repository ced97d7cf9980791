#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Cases 6 and 8 have a program of their own; case 9 uses the one of the
# earlier review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/cases-2/main.rs
rustc --edition 2024 -O -o target/review-2/standin review/standin/main.rust
