#!/usr/bin/env bash
# Builds what the cases 11 to 15 start, after the build of the deploy file. Their
# stand-ins are plain JavaScript without dependencies, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/mimosatray.cjs ]; then
  echo "target/mimosatray.cjs is missing: run the build of deploy/system.toml" >&2
  exit 1
fi
for script in review/1[1-5]/*.mjs; do
  node --check "$script"
done
echo "the stand-ins of the cases 11 to 15 are ready"
