#!/bin/sh
# Builds what the scripts start beside the proxies, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -Ireview/standin"
libraries="$(pkg-config --cflags --libs glib-2.0 json-glib-1.0)"
for folder in review/[0-9]; do
	[ -f "$folder/case.c" ] || continue
	# shellcheck disable=SC2086
	${CC:-gcc} $flags "$folder/case.c" review/standin/sim.c \
		$libraries -o "target/review/case-${folder#review/}"
done
