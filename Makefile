# Two commands matter: `make demo` runs the main job, `make test` the tests.
GO ?= go

.PHONY: build test lint bench demo codes

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -count=1 ./...

lint:
	@unformatted=$$(gofmt -l cmd internal test); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./... | tee bench.txt

demo: build
	./bin/pulley-demo

codes: # writes the page of result codes anew
	$(GO) run ./cmd/pulleyctl codes -o markdown > docs/RESULT-CODES.md
