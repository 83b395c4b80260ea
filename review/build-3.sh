#!/bin/sh
# Builds what the cases 11 to 15 start beside the node of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-third ./review/third
