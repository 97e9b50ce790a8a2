#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/standin
