# Two commands do everything: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
WORKERS ?= 6

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
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal --maxfail=50 \
	    --ignore tests/real
	$(BIN)/python -m pytest tests/real

format: $(VENV)/installed
	$(BIN)/ruff format .

load: $(VENV)/installed
	$(BIN)/python -m bench.load
