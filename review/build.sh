#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies; the build checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */case.mjs; do
	node --check "$file"
done
