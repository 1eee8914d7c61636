#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are plain modules of the runtime, which
# need no build: this checks that each can be read. The routers that the scripts start
# are built with the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for folder in 6 7 8 9 10; do
  for file in "$folder"/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file" || exit 1
  done
done
echo "stand-ins are ready"
