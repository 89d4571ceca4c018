#!/bin/bash
# Builds the stand-in that the scripts of the cases start.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
