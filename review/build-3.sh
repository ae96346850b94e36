#!/usr/bin/env bash
# Compiles the stand-ins of review/standins3 and those of the project that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review/standins3 soak ragwortshelf
python3 -c "import review.standins3.deployment"
