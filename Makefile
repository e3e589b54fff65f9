PYTHON ?= python3
BIN = .venv/bin
SECONDS ?= 300
SEED ?= 1
MINUTES ?= 5

.PHONY: run test speed lint format proto measure soak fuzz slopes spread clean

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

run: .venv/installed
	$(BIN)/python -m tools.demo

test: .venv/installed lint
	timeout 1500 $(BIN)/python -m pytest

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 boragetrail standins tools specification features

format: .venv/installed
	$(BIN)/ruff format .

speed: .venv/installed
	$(BIN)/python -m pytest -m speed features

proto: .venv/installed
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	    --grpc_python_out=. boragetrail/operators/operator.proto

measure: .venv/installed
	$(BIN)/python -m tools.measure

soak: .venv/installed
	$(BIN)/python -m tools.soak --seconds $(SECONDS) --seed $(SEED)
	$(BIN)/python -m tools.directsoak --seconds $(SECONDS) --seed $(SEED)

fuzz: .venv/installed
	$(BIN)/python -m tools.fuzz --minutes $(MINUTES)

slopes: .venv/installed
	$(BIN)/python -m tools.slopes

spread: .venv/installed
	$(BIN)/python -m tools.spread

clean:
	rm -rf .venv build out
