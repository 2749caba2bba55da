# The one test command: format, vet, linter, tests with the race detector.
check:
	@test -z "$$(gofmt -l cmd internal)" || { echo "not formatted:"; gofmt -l cmd internal; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	go test -race -count=1 ./...

# The program, as deploy/service.toml builds it.
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/service.toml)"

# The gRPC code, after a change of peer.proto.
generate:
	protoc -I internal/peer/peerpb --go_out=. --go_opt=module=juniperchute \
		--go-grpc_out=. --go-grpc_opt=module=juniperchute internal/peer/peerpb/peer.proto

.PHONY: check build generate
