#!/usr/bin/env bash
# Compiles the drivers and stand-ins of the cases into target/review. Run after the build of deploy/system.toml.
set -eu
HOME_FOLDER="$(cd "$(dirname "$0")/.." && pwd)"
. "$HOME_FOLDER/bin/java-environment"
find_java
COMPILER=javac
case "$JAVA" in
	*/*) COMPILER="$(dirname "$JAVA")/javac" ;;
esac
rm -rf "$HOME_FOLDER/target/review"
mkdir -p "$HOME_FOLDER/target/review"
"$COMPILER" -d "$HOME_FOLDER/target/review" "$HOME_FOLDER"/review/src/review/*.java
