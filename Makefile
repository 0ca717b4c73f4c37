# Sets up a virtual environment once, then runs the demo, the tests or the lint.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
RUN = PYTHONPATH=src:. $(BIN)/python

.PHONY: demo test lint format schema

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(RUN) -m auburnswitch.cli demo

test: $(VENV)/installed
	$(RUN) tools/run_tests.py $(TESTS)

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(RUN) tools/generate_schema.py --check

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

schema: $(VENV)/installed
	$(RUN) tools/generate_schema.py
