#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review. Needs the JDK only.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/stand-ins-2/target"
mkdir -p "$here/stand-ins-2/target"
javac -encoding UTF-8 -d "$here/stand-ins-2/target" "$here"/stand-ins-2/*.java
