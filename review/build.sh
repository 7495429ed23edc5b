#!/usr/bin/env bash
# Builds every stand-in that the cases start. The service itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
