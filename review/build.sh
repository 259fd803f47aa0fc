#!/bin/sh
# Builds the stand-ins of the cases, after the build of deploy/balancer.toml: compiles them, and needs no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
