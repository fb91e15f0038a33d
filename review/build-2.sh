#!/usr/bin/env bash
# The stand-ins of cases 4 to 6 are plain JavaScript modules; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [456]/*.mjs; do
	node --check "$file"
done
