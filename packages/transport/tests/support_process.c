#define _GNU_SOURCE
#include "support_process.h"

#include <check.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Long enough for a loaded machine with a sanitizer build. */
#define READY_TIMEOUT_MS 60000
#define CONTROL_TIMEOUT_MS 60000L

struct child {
	pid_t pid;
	int in; /* pipe to its standard input */
	int out; /* pipe from its standard output */
	JsonParser *ready; /* holds the parsed ready line */
};

static void spawn(struct child *c, const char *const *argv,
		  const char *log_path)
{
	const char *bin = g_getenv("CQ_BIN");
	char *path = g_build_filename(bin ? bin : "bin", argv[0], NULL);
	posix_spawn_file_actions_t actions;
	int in[2];
	int out[2];
	int rc;

	ck_assert(!pipe2(in, O_CLOEXEC) && !pipe2(out, O_CLOEXEC));
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, in[0], STDIN_FILENO);
	posix_spawn_file_actions_adddup2(&actions, out[1], STDOUT_FILENO);
	posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
					 log_path ? log_path : "/dev/null",
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	rc = posix_spawn(&c->pid, path, &actions, NULL,
			 (char *const *)(void *)argv, environ);
	posix_spawn_file_actions_destroy(&actions);
	close(in[0]);
	close(out[1]);
	c->in = in[1];
	c->out = out[0];
	ck_assert_msg(!rc, "%s: %s", path, g_strerror(rc));
	g_free(path);
}

static void read_line(const struct child *c, const char *name, GString *line)
{
	struct pollfd pfd = { .fd = c->out, .events = POLLIN };
	char byte = '\0';

	while (byte != '\n') {
		ck_assert_msg(poll(&pfd, 1, READY_TIMEOUT_MS) == 1,
			      "%s did not become ready", name);
		ck_assert_msg(read(c->out, &byte, 1) == 1,
			      "%s exited before it was ready", name);
		g_string_append_c(line, byte);
	}
}

/* Starts a program and waits until it has printed its ready line. */
struct child *child_start(const char *const *argv, const char *log_path)
{
	struct child *c = g_new0(struct child, 1);
	GString *line = g_string_new(NULL);

	spawn(c, argv, log_path);
	read_line(c, argv[0], line);
	c->ready = json_parser_new();
	ck_assert_msg(json_parser_load_from_data(c->ready, line->str, -1, NULL),
		      "%s printed invalid JSON: %s", argv[0], line->str);
	g_string_free(line, TRUE);
	return c;
}

pid_t child_pid(const struct child *c)
{
	return c->pid;
}

/* The JSON object from the child's ready line. */
JsonObject *child_ready(const struct child *c)
{
	return json_node_get_object(json_parser_get_root(c->ready));
}

/* A port number from the child's ready line. */
unsigned child_port(const struct child *c, const char *member)
{
	return (unsigned)json_object_get_int_member(child_ready(c), member);
}

static int end(struct child *c, int number)
{
	int status = 0;

	ck_assert(!kill(c->pid, number));
	kill(c->pid, SIGCONT);
	while (waitpid(c->pid, &status, 0) < 0)
		ck_assert_int_eq(errno, EINTR);
	close(c->in);
	close(c->out);
	g_object_unref(c->ready);
	g_free(c);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Asks the child to exit, waits until it has and frees it. NULL is ignored. */
int child_stop(struct child *c)
{
	return c ? end(c, SIGTERM) : 0;
}

/* Kills the child, as a crash would, and frees it. NULL is ignored. */
void child_kill(struct child *c)
{
	if (c)
		end(c, SIGKILL);
}

/* Stops the child's process, as if its machine were overloaded. */
void child_pause(struct child *c)
{
	ck_assert(!kill(c->pid, SIGSTOP));
}

/* Lets a paused child continue. */
void child_resume(struct child *c)
{
	ck_assert(!kill(c->pid, SIGCONT));
}

static size_t on_data(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * n));
	return size * n;
}

/* Sends one request to the control port and parses the answer. */
JsonObject *child_control(const struct child *c, const char *path,
			  const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    child_port(c, "control"), path);
	JsonParser *parser = json_parser_new();
	GString *answer = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	JsonObject *object;
	CURLcode rc;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CONTROL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	rc = curl_easy_perform(curl);
	ck_assert_msg(!rc, "%s: %s", url, curl_easy_strerror(rc));
	if (!answer->len)
		g_string_append(answer, "{}");
	ck_assert(json_parser_load_from_data(parser, answer->str, -1, NULL));
	object = json_object_ref(
		json_node_get_object(json_parser_get_root(parser)));
	curl_easy_cleanup(curl);
	g_object_unref(parser);
	g_string_free(answer, TRUE);
	g_free(url);
	return object;
}
