#!/usr/bin/env bash
# Compiles the scripts of this review and their stand-ins into target/review-2. Run after the build of deploy/system.toml.
set -eu
HOME_FOLDER="$(cd "$(dirname "$0")/.." && pwd)"
. "$HOME_FOLDER/bin/java-environment"
find_java
COMPILER=javac
case "$JAVA" in
	*/*) COMPILER="$(dirname "$JAVA")/javac" ;;
esac
rm -rf "$HOME_FOLDER/target/review-2"
mkdir -p "$HOME_FOLDER/target/review-2"
"$COMPILER" -d "$HOME_FOLDER/target/review-2" "$HOME_FOLDER"/review/kit-2/*.java
