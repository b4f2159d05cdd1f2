#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/review-stand ./review/stand
