# make demo: sets up, runs the whole path on the stand-ins and prints what happened.
# make test: sets up, checks format and style, runs all tests.
# make proofs SEED=n: checks what must always hold on a faulty run.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

SEED ?= 1

.PHONY: setup demo test lint proofs mutants slopes bench

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test,bench]'
	touch $@

demo: setup
	$(BIN)/python -m bench.demo

lint: setup
	$(BIN)/black --check --quiet rosemarypath standins bench proofs tests
	$(BIN)/isort --check --quiet rosemarypath standins bench proofs tests
	$(BIN)/flake8 rosemarypath standins bench proofs tests

test: lint
	$(BIN)/python -m pytest

proofs: setup
	$(BIN)/python -m proofs.run --seed $(SEED)

mutants: setup
	$(BIN)/python -m proofs.mutants --seed $(SEED)

slopes: setup
	$(BIN)/python -m bench.slopes

bench: setup
	$(BIN)/python -m bench.compare
