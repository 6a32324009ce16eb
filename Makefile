# Two commands do everything: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
WORKERS ?= 6

.PHONY: demo test lint format load soak

$(VENV)/installed: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m bench.demo

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 landingspool standins bench tests soak

test: lint
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal --maxfail=50 \
	    --ignore tests/real --ignore tests/crowds
	$(BIN)/python -m pytest tests/real
	$(BIN)/python -m pytest tests/crowds
	$(BIN)/python -m soak --first 1 --seeds 3 --jobs 3

format: $(VENV)/installed
	$(BIN)/ruff format .

# Fifty fresh seeds, by hand; a failing one keeps its logs.
soak: $(VENV)/installed
	$(BIN)/python -m soak --seeds 50

load: $(VENV)/installed
	$(BIN)/python -m bench.load
