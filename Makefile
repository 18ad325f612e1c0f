VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := src

.PHONY: test check demo bench format setup soak

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

format:
	$(BIN)/ruff check --fix --quiet src tests bench soak
	$(BIN)/ruff format --quiet src tests bench soak

test: $(STAMP) check

# Runs the checks with the tools that are installed already.
check:
	$(BIN)/ruff format --check src tests bench soak
	$(BIN)/ruff check src tests bench soak
	$(BIN)/flake8 src tests bench soak
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m bronzewall.demo

bench: $(STAMP)
	$(BIN)/python bench/run_all.py

# Seeds, first seed and length of the randomized soak.
SEEDS ?= 50
SEED ?= 1
SECONDS ?= 12
soak: $(STAMP)
	$(BIN)/python -m soak.run --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)
	$(BIN)/python -m soak.run --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) --planned
