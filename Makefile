# The commands that developers and CI use.

CARRIAGE ?= quic
DEPLOYMENT ?= huber
DURATION ?= 20s
ROUNDS ?= 20
SEED ?= 1
SKIP_SPECS ?=
SKIP_TESTS ?=
MODULES := lib balancer agent cyclamendock platform standin
PACKAGES := $(foreach m,$(MODULES),./$(m)/...)
TOOLS := bin/tools

.PHONY: bench build cuts demo disturb format gopls lint measures slopes soak test

build:
	mkdir -p bin
	go build -o bin/ ./balancer ./agent ./cyclamendock ./platform ./standin
	go build -tags cuts -o bin/platform-cuts ./platform

test: build
	SEED=$(SEED) SKIP_SPECS="$(SKIP_SPECS)" go test -count=1 -timeout 15m $(if $(SKIP_TESTS),-skip '^($(SKIP_TESTS))$$') $(PACKAGES)

demo: build
ifeq ($(CARRIAGE),tuple)
	./bin/standin flows --duration $(DURATION)
else
	./bin/standin demo --deployment $(DEPLOYMENT) --duration $(DURATION) --seed $(SEED)
endif

$(TOOLS): tools/go.mod
	mkdir -p $(TOOLS)
	cd tools && GOWORK=off go build -o ../$(TOOLS)/ github.com/mgechev/revive golang.org/x/tools/cmd/goimports honnef.co/go/tools/cmd/staticcheck
	touch $(TOOLS)

$(TOOLS)/gopls: tools/gopls/go.mod
	cd tools/gopls && GOWORK=off go build -o ../../$(TOOLS)/ golang.org/x/tools/gopls

gopls: $(TOOLS)/gopls

format: $(TOOLS)
	$(TOOLS)/goimports -local github.com/cyclamendock -w $(MODULES)

lint: $(TOOLS)
	@unformatted=$$($(TOOLS)/goimports -local github.com/cyclamendock -l $(MODULES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted; run make format"; exit 1; fi
	go vet $(PACKAGES)
	go vet -tags cuts ./platform
	$(TOOLS)/staticcheck $(PACKAGES)
	$(TOOLS)/staticcheck -tags cuts ./platform
	$(TOOLS)/revive -config revive.toml -set_exit_status $(PACKAGES)

bench: build
	./bin/standin bench

measures: build
	mkdir -p docs/plots
	./bin/standin measures --seed $(SEED) --plots docs/plots

disturb: build
	./bin/standin soak --seed $(SEED) --seeds $(ROUNDS) --jobs 4

cuts: build
	./bin/standin soak --cuts --seed $(SEED) --seeds $(ROUNDS)

soak:
	SEED=$(SEED) CHECKS=$(ROUNDS) go test -count=1 -timeout 2h ./lib/...

slopes: build
	./bin/standin slopes
	./bin/standin idle
