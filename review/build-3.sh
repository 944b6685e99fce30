#!/usr/bin/env bash
# Compiles the stand-ins of the cases 11 to 15 into target/review-3. Needs the JDK that also builds the project.
set -eu
HOME_FOLDER="$(cd "$(dirname "$0")/.." && pwd)"
. "$HOME_FOLDER/bin/java-environment"
find_java
COMPILER="$(dirname "$(command -v "$JAVA")")/javac"
OUTPUT="$HOME_FOLDER/target/review-3"
rm -rf "$OUTPUT"
mkdir -p "$OUTPUT"
"$COMPILER" --release 25 -d "$OUTPUT" "$HOME_FOLDER"/review/src-3/*.java
