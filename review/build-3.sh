#!/bin/sh
# Builds the stand-ins of the third review. The project's own program is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3 ./review/standin-3
