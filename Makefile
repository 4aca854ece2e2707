VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed

SEEDS ?= 3

.PHONY: setup test check format demo bench soak

setup: $(STAMP)

$(STAMP): requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $(STAMP)

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: check
	$(PYTHON) -m tests

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PYTHON) -m examples.demo

soak: setup
	$(PYTHON) -m soak --seeds $(SEEDS)

bench: setup
	$(PYTHON) -m bench
