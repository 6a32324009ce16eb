# Two commands do everything: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test lint format load

$(VENV)/installed: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m bench.demo

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 landingspool standins bench tests

test: lint
	$(BIN)/python -m pytest

format: $(VENV)/installed
	$(BIN)/ruff format .
