#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. review/build-3.sh and the build of the deploy file come first.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-3/blobs" ] && [ -x "$root/target/chivewind" ] || { echo "run the build of deploy/system.toml and review/build-3.sh first"; exit 2; }
exec "$root/target/review-3/blobs" "$root" "$here"
