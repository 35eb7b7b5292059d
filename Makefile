# Two commands matter: `make demo` runs the main job, `make test` the tests.
GO ?= go

.PHONY: build test lint bench demo codes

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -count=1 ./...

lint:
	@unformatted=$$(gofmt -l cmd internal platform test); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# One package at a time, so that none is measured beside another.
bench:
	$(GO) test -p 1 -timeout 60m -run '^$$' -bench . -benchmem ./... > bench.txt; status=$$?; cat bench.txt; exit $$status

demo: build
	./bin/pulley-demo

codes: # writes the page of result codes anew
	$(GO) run ./cmd/pulleyctl codes -o markdown > docs/RESULT-CODES.md
