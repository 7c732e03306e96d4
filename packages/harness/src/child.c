#define _GNU_SOURCE
#define LOG_MODULE "child"
#include "child.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* Time from SIGTERM to SIGKILL. */
#define STOP_TIMEOUT_MS 15000
#define STOP_POLL_INTERVAL_US 5000

struct child {
	pid_t pid; /* 0: ended */
	int status; /* as waitpid() gives it, once the process ended */
	FILE *out; /* read end of the pipe from its standard output */
	char *program;
	GThread *reader; /* copies the output after the ready line */
	int log_fd; /* file that the reader writes to; negative: none */
	GMutex lock; /* guards log_paused */
	GCond log_resumed; /* log_paused became false */
	bool log_paused; /* the reader stops after its current line */
	JsonParser *parser; /* owns `ready` */
	JsonObject *ready; /* the ready line; NULL if none was read */
};

static char *program_path(const char *program)
{
	const char *dir = getenv("CQ_BIN");

	return g_build_filename(dir ? dir : ".", program, NULL);
}

/*
 * Opens the log file of a child, PROGRAM.PID.log in the directory CQ_LOG_DIR;
 * /dev/null if that is not set.
 */
static int open_log(const char *program, pid_t pid)
{
	const char *dir = getenv("CQ_LOG_DIR");
	char path[512];

	if (dir)
		snprintf(path, sizeof(path), "%s/%s.%d.log", dir, program,
			 (int)pid);
	else
		snprintf(path, sizeof(path), "/dev/null");
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

/* Directs standard error to the log file that copy_log() also writes to. */
static void redirect_log(const char *program)
{
	int fd = open_log(program, getpid());

	if (fd >= 0)
		dup2(fd, STDERR_FILENO);
}

static void wait_while_paused(struct child *c)
{
	g_mutex_lock(&c->lock);
	while (c->log_paused)
		g_cond_wait(&c->log_resumed, &c->lock);
	g_mutex_unlock(&c->lock);
}

/*
 * Copies the child's output after the ready line to its log file. Unread, the
 * pipe would fill up and the child could log no more.
 */
static gpointer copy_log(gpointer data)
{
	struct child *c = data;
	char *line = NULL;
	size_t size = 0;
	ssize_t n;

	while ((n = getline(&line, &size, c->out)) > 0) {
		if (c->log_fd >= 0 && write(c->log_fd, line, (size_t)n) < n)
			break;
		wait_while_paused(c);
	}
	free(line);
	if (c->log_fd >= 0)
		close(c->log_fd);
	return NULL;
}

static void run_child(const char *program, char *path, char **argv, int out)
{
	/* The child must not outlive a test that is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(out, STDOUT_FILENO);
	redirect_log(program);
	execv(path, argv);
	_exit(127);
}

static char **make_argv(char *path, const char *const *args)
{
	GPtrArray *argv = g_ptr_array_new();

	g_ptr_array_add(argv, path);
	for (; *args; args++)
		g_ptr_array_add(argv, (gpointer)*args);
	g_ptr_array_add(argv, NULL);
	return (char **)g_ptr_array_free(argv, FALSE);
}

static bool spawn(struct child *c, const char *program, const char *const *args)
{
	char *path = program_path(program);
	char **argv = make_argv(path, args);
	int fds[2] = { -1, -1 };

	if (pipe2(fds, O_CLOEXEC))
		goto out;
	c->pid = fork();
	if (!c->pid)
		run_child(program, path, argv, fds[1]);
	close(fds[1]);
	c->out = fdopen(fds[0], "r");
out:
	g_free(argv);
	g_free(path);
	return c->pid > 0 && c->out;
}

static bool parse_ready_line(struct child *c, const char *line)
{
	JsonNode *root;

	g_clear_object(&c->parser);
	c->parser = json_parser_new();
	if (!json_parser_load_from_data(c->parser, line, -1, NULL))
		return false;
	root = json_parser_get_root(c->parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return false;
	c->ready = json_node_get_object(root);
	return json_object_get_boolean_member_with_default(c->ready, "ready",
							   FALSE);
}

/* Skips log lines before the ready line; false: the output ended first. */
static bool read_ready(struct child *c)
{
	char *line = NULL;
	size_t size = 0;
	bool ok = false;

	while (!ok && getline(&line, &size, c->out) > 0)
		ok = parse_ready_line(c, line);
	free(line);
	return ok;
}

static struct child *start(const char *program, const char *const *args,
			   bool wait, struct err *err)
{
	struct child *c = g_new0(struct child, 1);

	c->program = g_strdup(program);
	if (spawn(c, program, args) && (!wait || read_ready(c))) {
		c->log_fd = open_log(program, c->pid);
		c->reader = g_thread_new("child-log", copy_log, c);
		return c;
	}
	err_set(err, ERR_SYSTEM, "%s did not start or printed no ready line",
		program);
	child_destroy(c);
	return NULL;
}

/*
 * Starts a program and waits, without a time limit, for its ready line. Returns
 * NULL and ERR_SYSTEM if it can't be started or its output ends before that.
 */
struct child *child_start(const char *program, const char *const *args,
			  struct err *err)
{
	return start(program, args, true, err);
}

/* Starts a program without waiting for a ready line. */
struct child *child_start_no_wait(const char *program, const char *const *args,
				  struct err *err)
{
	return start(program, args, false, err);
}

/* Sends a signal, unless the process is known to have ended. */
void child_signal(const struct child *c, int number)
{
	if (c->pid > 0)
		kill(c->pid, number);
}

static int exit_value(int status)
{
	return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

/*
 * Waits for the end of the process, without a time limit. Returns its exit
 * status, or minus the number of the signal that killed it.
 */
int child_wait(struct child *c)
{
	if (c->pid > 0 && waitpid(c->pid, &c->status, 0) == c->pid)
		c->pid = 0;
	return exit_value(c->status);
}

/* Pauses or resumes reading the child's standard output. */
void child_set_log_paused(struct child *c, bool paused)
{
	g_mutex_lock(&c->lock);
	c->log_paused = paused;
	g_cond_signal(&c->log_resumed);
	g_mutex_unlock(&c->lock);
}

/* Whether the process still runs; reaps it if it has ended. */
bool child_alive(struct child *c)
{
	if (c->pid > 0 && waitpid(c->pid, &c->status, WNOHANG) == c->pid)
		c->pid = 0;
	return c->pid > 0;
}

static void stop(struct child *c)
{
	int waited_us;

	child_signal(c, SIGCONT);
	child_signal(c, SIGTERM);
	for (waited_us = 0; waited_us < STOP_TIMEOUT_MS * 1000;
	     waited_us += STOP_POLL_INTERVAL_US) {
		if (!child_alive(c))
			return;
		usleep(STOP_POLL_INTERVAL_US);
	}
	child_signal(c, SIGKILL);
	child_wait(c);
}

/* Stops the process if it still runs, and frees `c`, which may be NULL. */
void child_destroy(struct child *c)
{
	if (!c)
		return;
	if (c->pid > 0)
		stop(c);
	child_set_log_paused(c, false);
	/* The reader ends at end of file: the child's end closes the pipe. */
	if (c->reader)
		g_thread_join(c->reader);
	if (c->out)
		fclose(c->out);
	if (c->parser)
		g_object_unref(c->parser);
	g_free(c->program);
	g_free(c);
}

/* The process ID; 0 once the process has been reaped. */
pid_t child_pid(const struct child *c)
{
	return c->pid;
}

/* An integer member of the ready line; 0 if there is none of that name. */
int64_t child_ready_int(const struct child *c, const char *key)
{
	return json_object_get_int_member_with_default(c->ready, key, 0);
}

/* The ready line, owned by the child. */
JsonObject *child_ready(const struct child *c)
{
	return c->ready;
}
