PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/node packages/cli packages/lab platform
SOURCES := packages platform tests

ONLY ?=
SEED ?= 1
STEPS ?= 2000
LONG ?=

.PHONY: env test lint format types unit crowds demo bench fuzz soak clean

env: $(STAMP)

$(STAMP): constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r constraints.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

lint: env
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

format: env
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

types: env
	$(BIN)/mypy --cache-dir .mypy_cache packages/core/src packages/node/src packages/cli/src packages/lab/src platform/src tests

unit: env
	$(BIN)/python -m pytest -n 6 --ignore=tests/crowds

# Each of these tests measures the memory of processes beside a crowd, so they run one at a time.
crowds: env
	$(BIN)/python -m pytest tests/crowds

test: lint types unit
	$(MAKE) crowds

demo: env
	PATH="$(CURDIR)/$(BIN):$$PATH" bash demo/run.sh

bench: env
	$(BIN)/python -m goldcrestridge_lab.bench --only "$(ONLY)" --seed $(SEED) $(if $(LONG),--long,)

fuzz: env
	$(BIN)/python -m goldcrestridge_lab.fuzz --seed $(SEED) --steps $(STEPS)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis

soak: env
	$(BIN)/python -m goldcrestridge_lab.soak --seed=$(or $(SEED),1) --seconds=$(or $(SECONDS),20) \
		--processes=$(or $(PROCESSES),7)
