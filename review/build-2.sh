#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python files that need nothing but the deploy file's build.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/stand_ins_2.py
