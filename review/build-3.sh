#!/usr/bin/env bash
# Compiles the stand-ins and the cases of review/11 and the folders after it; needs only the JDK.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
javac -d "$here/stand-ins-3/target" "$here"/stand-ins-3/*.java
