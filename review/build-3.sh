#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review3 -o target/review-3/standin-3 ./review/standin-3
