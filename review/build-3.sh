#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of the third review start. They are plain Node.js modules without dependencies, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
	node --check "$file"
done
