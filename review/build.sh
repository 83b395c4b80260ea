#!/usr/bin/env bash
# Builds the stand-ins of all cases. The deploy file's build has to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/standins
