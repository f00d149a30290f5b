#!/bin/sh
# Compiles the stand-ins and the cases; needs the JDK only. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes lib/Kit.java $(find . -path ./classes -prune -o -name 'Case*.java' -print)
