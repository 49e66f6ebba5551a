#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain modules for Node.js, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [0-9]*/run.mjs; do
	node --check "$file"
done
