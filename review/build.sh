#!/usr/bin/env bash
# Builds the stand-ins that the cases start: one program of the standard library alone. Run it after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/stand-in stand-in/main.rs
