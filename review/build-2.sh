#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python, so this checks
# that they, and those of the project that they use, load with the libraries
# of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import stack_2, runner_2'
