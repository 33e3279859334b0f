#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-standin-2 ./review/standin-2
