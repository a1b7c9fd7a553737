#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Standard library only: no network is needed.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in */case.rs; do
    n=${case%/case.rs}
    rustc --edition 2024 -C opt-level=2 -o "bin/case$n" "$case"
done
