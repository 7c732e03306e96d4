#!/bin/sh
# Builds the stand-ins of the cases in review/4 and after, each into one
# program. The proxies come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for scene in review/[4-8]/scene.c; do
	n=$(basename "$(dirname "$scene")")
	gcc -std=gnu11 -O1 -g -Wall -Wextra -Ireview/standin-2 \
		-o "target/review-2/scene-$n" "$scene" \
		review/standin-2/world.c -lpthread || exit 2
done
