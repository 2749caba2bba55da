# Packages whose lines, functions and files keep to the limits in revive.toml and
# internal/tools/funlen. Code that is older than the limits is brought below them package by
# package: a finished one is added here, and "make over-limit" prints what is left. Once
# nothing is, this becomes ./... and the target goes.
READABLE_PACKAGES = \
	./cmd/juniperchute \
	./internal/admin \
	./internal/clock \
	./internal/cloud \
	./internal/config \
	./internal/featuregate \
	./internal/fleet \
	./internal/integration \
	./internal/intentlog \
	./internal/leader \
	./internal/peer/... \
	./internal/placement \
	./internal/quota \
	./internal/standin \
	./internal/store \
	./internal/submission \
	./internal/tools/... \
	./internal/tracing \
	./internal/tuning \
	./internal/wire \
	./internal/worker

# The one test command: format, vet, linters, limits, tests with the race detector. A test that
# fails fails this, unless KNOWN-RED.txt lists it: see internal/tools/knownfailures.
check: limits
	@test -z "$$(gofmt -l cmd internal)" || { echo "not formatted:"; gofmt -l cmd internal; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	go run ./internal/tools/knownfailures -race -count=1 ./...

# Lengths of lines, files and functions in the packages that are finished.
limits:
	go tool revive -config revive.toml -set_exit_status $(READABLE_PACKAGES)
	go run ./internal/tools/funlen $(READABLE_PACKAGES)

# Every line, file and function of the whole tree that is beyond a limit.
over-limit:
	@go tool revive -config revive.toml ./... || true
	@go run ./internal/tools/funlen ./... || true

# The program, as deploy/service.toml builds it.
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/service.toml)"

# The gRPC code, after a change of peer.proto.
generate:
	protoc -I internal/peer/peerpb --go_out=. --go_opt=module=juniperchute \
		--go-grpc_out=. --go-grpc_opt=module=juniperchute internal/peer/peerpb/peer.proto

.PHONY: check limits over-limit build generate
