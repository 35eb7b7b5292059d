#!/usr/bin/env bash
# Plays case 7; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pulley-node ] && [ -x target/rig-3 ] || exit 2
exec target/rig-3 7 review/7/record.txt
