#!/bin/sh
# Builds what the cases 6 to 10 need beside the build of the deploy file. All stand-ins are plain Python of the standard
# library in review/support_2.py and in the folders of the cases, so they are only compiled, as a check that they load.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/support_2.py review/cluster_2.py review/duty_2.py review/[6-9]/play.py
