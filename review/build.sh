#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/stand-ins/*.java
