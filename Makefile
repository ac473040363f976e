# make demo: sets up, runs the whole path on the stand-ins and prints what happened.
# make test: sets up, checks format and style, runs all tests.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint

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
