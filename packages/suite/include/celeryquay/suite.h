#ifndef CELERYQUAY_SUITE_H
#define CELERYQUAY_SUITE_H

/* The common end of main() in the programs that use the Check library. */

#include <check.h>

/*
 * Runs the test case as a suite and prints the failed tests. Returns the exit
 * status of the program.
 */
int suite_main(const char *name, TCase *tests);

#endif
