VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
PACKAGES = packages/core packages/daemon packages/client packages/standin
SOURCES = $(foreach p,$(PACKAGES),$(p)/src)
WORKERS ?= 0
export PYTHONPATH = $(subst $(eval ) ,:,$(SOURCES))
TOOLS = setuptools wheel ruff mypy pytest pytest-bdd pytest-benchmark pytest-xdist hypothesis trustme \
	types-PyYAML types-requests types-jsonschema

.PHONY: setup demo test lint format bench platform-day soak explore stats thrift

setup: $(STAMP)

$(STAMP): constraints.txt $(foreach p,$(PACKAGES),$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt $(TOOLS)
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation $(foreach p,$(PACKAGES),-e $(p))
	touch $(STAMP)

demo: setup
	$(BIN)/python -m bronzemoor_daemon.demo

# WORKERS=4 is faster for a change at hand. Whole systems then compete for processors
# and syncs, so that leaders may lose their quorum; CI uses one process.
test: setup
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile $(ARGS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(SOURCES)
	$(BIN)/mypy platform/bronzemoor_platform

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python -m bench

# Plays one day on the users' bench, for example FLEETBENCH=… SITE=… DAY=quiet-1.
platform-day:
	$(FLEETBENCH) run $(SITE) $(DAY)

soak: setup
	BRONZEMOOR_SOAK=1 $(BIN)/python -m pytest $(ARGS)
	$(BIN)/python tests/soak/soak.py --seeds $(or $(SEEDS),1-50)

# Searches all states of the models of a primary's replacement; takes some minutes.
explore:
	PYTHONPATH=$(PYTHONPATH):packages/core/tests $(BIN)/python -m wire.explore.everything

stats: setup
	$(BIN)/python tools/stats.py

# Needs the Thrift compiler 0.17.0; its output is committed, so builds do not need it.
thrift:
	thrift --gen py:package_prefix=bronzemoor_daemon.gen. -out packages/daemon/src/bronzemoor_daemon/gen idl/peer.thrift
	thrift --gen py:package_prefix=bronzemoor_daemon.gen. -out packages/daemon/src/bronzemoor_daemon/gen idl/endpoint.thrift
	thrift --gen py:package_prefix=bronzemoor_standin.gen. -out packages/standin/src/bronzemoor_standin/gen idl/endpoint.thrift
	find packages -name '*-remote' -delete
