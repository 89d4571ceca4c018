#!/usr/bin/env bash
# The project's test command: build, vet, race tests, the simulator's fixed seeds, then a fleet of real processes.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi
if command -v protoc >/dev/null && command -v protoc-gen-go >/dev/null; then
  drift=$(mktemp -d)
  protoc --proto_path=internal/schema --go_out="$drift" --go_opt=paths=source_relative topazshed.proto
  if ! diff <(grep -v '^// 	protoc' internal/schema/topazshed.pb.go) <(grep -v '^// 	protoc' "$drift/topazshed.pb.go") >/dev/null; then
    echo "internal/schema/topazshed.pb.go is not what topazshed.proto generates; generate it again"
    exit 1
  fi
  rm -r "$drift"
fi
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml ./...
mkdir -p bin
go build -o bin/ ./cmd/...
known_red=$(sed -n 's/^test: \([A-Za-z0-9_]*\)$/\1/p' KNOWN-RED.txt | paste -sd'|')
skip=()
if [ -n "$known_red" ]; then
  echo "passed over, since they are known to fail (KNOWN-RED.txt):"
  grep -A 2 '^test: ' KNOWN-RED.txt
  skip=(-skip "^($known_red)\$")
fi
go test -race -timeout 40m "${skip[@]}" $(go list ./... | grep -v internal/sim)
go test "${skip[@]}" ./internal/sim
bin/testfleet sim -scenario all -seeds 1-20
bin/testfleet run -deployment office -rate 100 -seconds 32 -seed 1 -scenario scenarios/ci.txt
bin/testfleet run -deployment port -rate 200 -seconds 50 -seed 1 -scenario scenarios/ci-port.txt
bin/testfleet routed -seconds 24 -seed 1
bin/testfleet soak -seeds 1 -storms 2
bin/testfleet starts -seeds 1-3
bin/testfleet floods -seeds 1-3 -seconds 4
