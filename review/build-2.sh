#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review. Needs the JDK only.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
for folder in stand-ins-2 stand-ins-3; do
    rm -rf "$here/$folder/target"
    mkdir -p "$here/$folder/target"
    javac -encoding UTF-8 -d "$here/$folder/target" "$here/$folder"/*.java
done
