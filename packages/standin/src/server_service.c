#include "server_service.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include "server.h"
#include "server_session.h"
#include "server_util.h"

#define US_PER_S 1000000

struct job {
	uint64_t due_us;
	struct session *session;
};

struct service {
	struct server *srv;
	int workers;
	uint64_t *free_at_us;
	GQueue jobs; /* by due time */
	int fd;
	uv_poll_t poll;
};

/* Sets the timer to the first job. A timerfd, as libuv's timers have ms. */
static void arm(struct service *service)
{
	struct itimerspec at = { { 0, 0 }, { 0, 0 } };
	const struct job *first = g_queue_peek_head(&service->jobs);

	if (first) {
		at.it_value.tv_sec = (time_t)(first->due_us / US_PER_S);
		at.it_value.tv_nsec = (long)(first->due_us % US_PER_S) * 1000;
	}
	timerfd_settime(service->fd, TFD_TIMER_ABSTIME, &at, NULL);
}

/* Wakes the sessions whose jobs are done. */
static void on_timer(uv_poll_t *poll, int status, int events)
{
	struct service *service = poll->data;
	uint64_t now_us = util_now_us();
	struct job *job;
	uint64_t expired;

	(void)status;
	(void)events;
	if (read(service->fd, &expired, sizeof(expired)) < 0)
		return;
	while ((job = g_queue_peek_head(&service->jobs)) &&
	       job->due_us <= now_us) {
		g_queue_pop_head(&service->jobs);
		session_wake(job->session);
		g_free(job);
	}
	arm(service);
}

/* Makes a service with a number of workers, at least one. */
struct service *service_create(struct server *srv, int workers)
{
	struct service *service = g_new0(struct service, 1);

	service->srv = srv;
	service->workers = MAX(workers, 1);
	service->free_at_us = g_new0(uint64_t, (gsize)service->workers);
	g_queue_init(&service->jobs);
	service->fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	uv_poll_init(srv->loop, &service->poll, service->fd);
	service->poll.data = service;
	uv_poll_start(&service->poll, UV_READABLE, on_timer);
	return service;
}

/* Frees the service when its handle is closed. */
static void on_closed(uv_handle_t *handle)
{
	struct service *service = handle->data;

	close(service->fd);
	g_queue_clear_full(&service->jobs, g_free);
	g_free(service->free_at_us);
	g_free(service);
}

/* Closes the service; the loop has to run on to free it. */
void service_destroy(struct service *service)
{
	if (!service)
		return;
	uv_poll_stop(&service->poll);
	uv_close((uv_handle_t *)&service->poll, on_closed);
}

/* Orders jobs by due time. */
static int compare_jobs(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct job *x = a, *y = b;

	(void)user;
	return x->due_us < y->due_us ? -1 : x->due_us > y->due_us;
}

/* Occupies the worker that is free first; wakes the session at its end. */
void service_enter(struct service *service, struct session *s, uint64_t cost_us)
{
	struct job *job = g_new0(struct job, 1);
	int i, worker = 0;

	for (i = 1; i < service->workers; i++) {
		if (service->free_at_us[i] < service->free_at_us[worker])
			worker = i;
	}
	job->session = s;
	job->due_us = MAX(service->free_at_us[worker], util_now_us()) + cost_us;
	service->free_at_us[worker] = job->due_us;
	g_queue_insert_sorted(&service->jobs, job, compare_jobs, NULL);
	arm(service);
}

/* Forgets a session that closes; its worker stays occupied. */
void service_leave(struct service *service, const struct session *s)
{
	struct job *job;
	GList *link, *next;

	for (link = service->jobs.head; link; link = next) {
		next = link->next;
		job = link->data;
		if (job->session != s)
			continue;
		g_queue_delete_link(&service->jobs, link);
		g_free(job);
	}
}
