#!/bin/sh
# Builds the stand-ins of the scripts: all are Python, so they are compiled and
# imported with the libraries that the deploy file's build puts under target/.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
export PYTHONPATH="target/deps:.:review"
python3 -m compileall -q review lagoonpost_standins
python3 -c "import harness, runner, lagoonpost_standins.rows"
