#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript without
# dependencies, so that a check of their syntax is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
