#!/bin/sh
# Builds the stand-ins of the cases. Needs no network: the standard library is all they use.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
