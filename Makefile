# The one test command: format, vet, linters, limits, tests with the race detector. A test that
# fails fails this, unless KNOWN-RED.txt lists it: see internal/tools/knownfailures.
check: limits
	@test -z "$$(gofmt -l cmd internal)" || { echo "not formatted:"; gofmt -l cmd internal; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	go run ./internal/tools/knownfailures -race -count=1 ./...

# Lengths of lines, files and functions, tests included: see revive.toml and
# internal/tools/funlen. Both folders are named, as revive would read whatever else lies below
# the root, target/ too.
limits:
	go tool revive -config revive.toml -set_exit_status ./cmd/... ./internal/...
	go run ./internal/tools/funlen ./cmd/... ./internal/...

# The program, as deploy/service.toml builds it.
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/service.toml)"

# The gRPC code, after a change of peer.proto.
generate:
	protoc -I internal/peer/peerpb --go_out=. --go_opt=module=juniperchute \
		--go-grpc_out=. --go-grpc_opt=module=juniperchute internal/peer/peerpb/peer.proto

.PHONY: check limits build generate
