# Runs all checks: format, vet, linters, limits, and tests with the race detector. Failures of
# the tests in KNOWN-RED.txt are tolerated: see internal/tools/knownfailures.
check: limits
	@test -z "$$(gofmt -l cmd internal)" || { echo "not formatted:"; gofmt -l cmd internal; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	go run ./internal/tools/knownfailures -race -count=1 ./...

# Checks the lengths of lines, files and functions, tests included: see revive.toml and
# internal/tools/funlen. The folders are explicit because revive reads everything below ./...,
# target/ included.
limits:
	go tool revive -config revive.toml -set_exit_status ./cmd/... ./internal/...
	go run ./internal/tools/funlen ./cmd/... ./internal/...

# Builds the program with the command in deploy/service.toml.
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/service.toml)"

# Generates the gRPC code from peer.proto.
generate:
	protoc -I internal/peer/peerpb --go_out=. --go_opt=module=juniperchute \
		--go-grpc_out=. --go-grpc_opt=module=juniperchute internal/peer/peerpb/peer.proto

.PHONY: check limits build generate
