#!/usr/bin/env bash
# The project's test command: build, vet, race tests with the simulator's fixed seeds, then a fleet of real processes.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi
go vet ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test -race ./...
bin/rig run -deployment office -rate 60 -seconds 8 -seed 1
