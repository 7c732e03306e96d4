#include <celeryquay/suite.h>

#include <signal.h>
#include <stdlib.h>

/* Time limit of a test: wide, for a loaded machine, valgrind or sanitizers. */
#define TEST_TIMEOUT_S 300

/* Runs the test case as a suite; EXIT_FAILURE if a test failed. */
int suite_main(const char *name, TCase *tests)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	/* As in the daemon: a write to a closed connection gives an error. */
	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tests, TEST_TIMEOUT_S);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
