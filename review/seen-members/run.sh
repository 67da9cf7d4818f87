#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=review/seen-members
[ -x target/review-2/stand ] && [ -x target/release/fulmargate-entry ] || { echo "build first"; exit 2; }
exec target/review-2/stand members "$folder"
