#!/bin/sh
# Plays the case that claim.txt describes. TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x review/bin/standin ] || exit 2
exec review/bin/standin dropped-route "$dir/record.txt"
