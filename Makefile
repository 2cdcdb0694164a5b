PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: setup demo test lint types measure chaos soak

# The stamp keeps repeated runs from asking the registry again.
.venv/.stamp: requirements/lock.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/lock.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch .venv/.stamp

setup: .venv/.stamp

demo: setup
	$(BIN)/python -m fakes.demo

# Sets of names have one order, so that each run gives the same verdict.
test measure chaos: export PYTHONHASHSEED = 0

test: setup
	$(BIN)/python -m pytest -n 6

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src fakes measure tests

types: setup
	$(BIN)/mypy

M ?= all
measure: setup
	$(BIN)/python -m measure.program $(M)

# A longer list of seeds than the one CI runs.
chaos: setup
	RAGWORTCOURSE_SEEDS=$(or $(SEEDS),200) $(BIN)/python -m pytest tests/test_chaos.py

# Fresh seeds each time; logs are kept in a folder that each line names.
soak: setup
	$(BIN)/python -m fakes.soak --seeds $(or $(SEEDS),10)
