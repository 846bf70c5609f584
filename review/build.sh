#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python of the standard library, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
