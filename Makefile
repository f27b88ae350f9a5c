VENV ?= .venv
BIN := $(VENV)/bin
PYTHON ?= python3
# Tests and stories side by side; each starts a small system of its own.
JOBS ?= 3

.PHONY: install run demo test check soak format bench clean

$(VENV)/installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

install: $(VENV)/installed

run: install
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/honcho --env examples/run.env start

demo: install
	$(BIN)/python -m bench.demo

test: install check

# What CI runs, on an environment that is already installed.
check:
	@test ! -s KNOWN-RED.txt || cat KNOWN-RED.txt
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m pytest --numprocesses $(JOBS) --dist worksteal \
		-m "not crowd"
	ls features/*.feature | xargs -P $(JOBS) -n 1 \
		$(BIN)/behave --format progress3 --no-capture
	$(BIN)/python -m pytest -m crowd

# Fifty seeds of the soak, some minutes; `python -m soak --help` has the rest.
soak: install
	seq 1 10 41 | xargs -P 5 -I{} $(BIN)/python -m soak --first {} --count 10

format:
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info
