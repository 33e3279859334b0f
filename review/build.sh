#!/bin/sh
# Builds the stand-ins that the scripts start. The build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-standin ./review/standin
