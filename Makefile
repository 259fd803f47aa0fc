.PHONY: build test lint run

build:
	test -d .venv || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

test:
	bash .ci/run

lint: .venv-dev
	.venv-dev/bin/ruff check .
	.venv-dev/bin/mypy

run: build
	exec .venv/bin/python -m heronlug

.venv-dev:
	python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-dev.txt
