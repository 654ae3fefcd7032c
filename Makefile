# make demo: plays the scripted bad day and prints the verdict.  make test: style, types and tests.
VENV := .venv-dev
BIN := $(CURDIR)/$(VENV)/bin
OUT ?= out/demo

.PHONY: demo test install
install: $(VENV)/installed

$(VENV)/installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

demo: install
	$(BIN)/python -m puffintide day run days/bad-day.ini --out $(OUT)

test: install
	$(BIN)/ruff format --check . && $(BIN)/ruff check . && $(BIN)/mypy
	$(BIN)/pytest -q -n 8 --dist worksteal -m "not processes"
	$(BIN)/pytest -q -n 3 --dist loadgroup -m processes
