#include <sys/epoll.h>
#include <unistd.h>

#include <glib-unix.h>

#include "poll_set.h"

#define BATCH_MAX 64 /* events in one turn of the loop */

struct poll_set {
	GSource source; /* must be first */
	int epoll_fd;
	struct epoll_event batch[BATCH_MAX];
	int batch_len, batch_at; /* events in progress */
	poll_event_fn on_event;
	poll_wake_fn on_wake;
	void *ctx;
};

static void handle_events(struct poll_set *s)
{
	int n = epoll_wait(s->epoll_fd, s->batch, BATCH_MAX, 0);

	s->batch_len = MAX(n, 0);
	for (s->batch_at = 0; s->batch_at < s->batch_len;) {
		const struct epoll_event *e = &s->batch[s->batch_at++];

		if (e->data.ptr)
			s->on_event(s->ctx, e->data.ptr, e->events);
	}
	s->batch_len = 0;
}

static gboolean on_dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	struct poll_set *s = (struct poll_set *)source;
	int64_t wake_us = g_source_get_ready_time(source);

	handle_events(s);
	if (wake_us < 0 || wake_us > g_source_get_time(source) || g_source_is_destroyed(source))
		return G_SOURCE_CONTINUE;
	g_source_set_ready_time(source, -1);
	if (s->on_wake)
		s->on_wake(s->ctx);
	return G_SOURCE_CONTINUE;
}

struct poll_set *poll_set_create(poll_event_fn on_event, poll_wake_fn on_wake, void *ctx)
{
	static GSourceFuncs funcs = { .dispatch = on_dispatch };
	int fd = epoll_create1(EPOLL_CLOEXEC);
	struct poll_set *s;

	if (fd < 0)
		return NULL;
	s = (struct poll_set *)g_source_new(&funcs, sizeof(*s));
	s->epoll_fd = fd;
	s->batch_len = s->batch_at = 0;
	s->on_event = on_event;
	s->on_wake = on_wake;
	s->ctx = ctx;
	g_source_set_static_name(&s->source, "poll_set");
	g_source_add_unix_fd(&s->source, fd, G_IO_IN);
	g_source_attach(&s->source, NULL);
	return s;
}

void poll_set_destroy(struct poll_set *s)
{
	if (!s)
		return;
	s->batch_len = 0;
	g_source_destroy(&s->source);
	close(s->epoll_fd);
	g_source_unref(&s->source);
}

static bool control(struct poll_set *s, int op, int fd, uint32_t events, void *data)
{
	struct epoll_event event = { .events = events, .data.ptr = data };

	return epoll_ctl(s->epoll_fd, op, fd, &event) == 0;
}

bool poll_set_add(struct poll_set *s, int fd, uint32_t events, void *data)
{
	return control(s, EPOLL_CTL_ADD, fd, events, data);
}

bool poll_set_change(struct poll_set *s, int fd, uint32_t events, void *data)
{
	return control(s, EPOLL_CTL_MOD, fd, events, data);
}

void poll_set_remove(struct poll_set *s, int fd, const void *data)
{
	if (fd >= 0)
		epoll_ctl(s->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	for (int i = s->batch_at; i < s->batch_len; i++)
		if (s->batch[i].data.ptr == data)
			s->batch[i].data.ptr = NULL;
}

void poll_set_wake_at(struct poll_set *s, int64_t time_us)
{
	g_source_set_ready_time(&s->source, time_us);
}
