#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 runs it without the freezes.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bergamot-vm ] && [ -x target/review-2/6 ] || exit 2
exec target/review-2/6 "$folder"
