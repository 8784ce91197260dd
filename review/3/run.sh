#!/bin/sh
# Case 3, see claim.txt. The fourth machine owns the shards, and follows the control node of the second one, which is in
# its zone. With TROUBLE=0 the second machine does not stand still.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" "$here" stale_owner north+ west+ south+ west
