VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := src

.PHONY: test check demo bench format setup

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

format:
	$(BIN)/ruff check --fix --quiet src tests bench
	$(BIN)/ruff format --quiet src tests bench

test: $(STAMP) check

# Runs the checks with the tools that are installed already.
check:
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m bronzewall.demo

bench: $(STAMP)
	$(BIN)/python bench/run_all.py
