# Every target works from a fresh clone with only Go and a C compiler.
export CGO_ENABLED := 1
MODULES := $(shell sed -n 's|^\t\./||p' go.work)
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))

.PHONY: run test lint build tidy bench bench-micro

run:
	go run ./cmd/peridotchute dev

test:
	go test -count=1 -timeout 20m $(PACKAGES)

lint: .bin/staticcheck
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "not gofmt clean:"; echo "$$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	.bin/staticcheck $(PACKAGES)
	.bin/revive -config tools/revive.toml -set_exit_status $(PACKAGES)

.bin/staticcheck: tools/go.mod tools/go.sum
	cd tools && GOWORK=off go build -o ../.bin/ tool

.bin/gopls: tools/gopls/go.mod tools/gopls/go.sum
	cd tools/gopls && GOWORK=off go build -o ../../.bin/ tool

build:
	mkdir -p .bin
	go build -o .bin/ ./cmd/...

tidy:
	tools/tidy.sh

bench-micro:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)

bench:
	go run ./cmd/peridotchute-load replay --output docs/MEASUREMENTS.md
