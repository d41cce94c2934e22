#include <sys/socket.h>

#include "lingering.h"

#define DISCARD_BYTES 65536

struct lingering {
	GQueue sockets; /* struct entry, oldest first */
	uint32_t max;
};

struct entry {
	struct lingering *owner;
	GSocket *sock;
	GSource *watch;
	int64_t since_us;
	GList *link;
};

static void entry_close(struct entry *e)
{
	g_queue_delete_link(&e->owner->sockets, e->link);
	g_source_destroy(e->watch);
	g_source_unref(e->watch);
	g_socket_close(e->sock, NULL);
	g_object_unref(e->sock);
	g_free(e);
}

/* Called when bytes or the end of the connection have arrived, or LINGER_S after the last of them.
 */
static gboolean on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
	if (recv(g_socket_get_fd(sock), NULL, DISCARD_BYTES, MSG_TRUNC | MSG_DONTWAIT) > 0)
		return G_SOURCE_CONTINUE;
	entry_close(data);
	return G_SOURCE_REMOVE;
}

struct lingering *lingering_create(uint32_t max)
{
	struct lingering *l = g_new0(struct lingering, 1);

	g_queue_init(&l->sockets);
	l->max = max;
	return l;
}

void lingering_destroy(struct lingering *l)
{
	if (!l)
		return;
	while (l->sockets.length)
		entry_close(l->sockets.head->data);
	g_free(l);
}

void lingering_add(struct lingering *l, GSocket *sock)
{
	struct entry *e = g_new0(struct entry, 1);

	/* What has arrived would make a close at once a reset. */
	recv(g_socket_get_fd(sock), NULL, DISCARD_BYTES, MSG_TRUNC | MSG_DONTWAIT);
	e->owner = l;
	e->since_us = g_get_monotonic_time();
	e->sock = g_object_ref(sock);
	g_queue_push_tail(&l->sockets, e);
	e->link = l->sockets.tail;
	g_socket_set_timeout(sock, LINGER_S);
	e->watch = g_socket_create_source(sock, G_IO_IN, NULL);
	g_source_set_callback(e->watch, G_SOURCE_FUNC(on_readable), e, NULL);
	g_source_attach(e->watch, NULL);
	if (l->sockets.length > l->max)
		entry_close(l->sockets.head->data);
}

uint32_t lingering_wait_ms(const struct lingering *l)
{
	const struct entry *e = l->sockets.head ? l->sockets.head->data : NULL;
	int64_t age_ms;

	if (!e || l->sockets.length < l->max)
		return 0;
	age_ms = (g_get_monotonic_time() - e->since_us) / 1000;
	return (uint32_t)MAX(LINGER_MIN_MS - age_ms, 0);
}

uint32_t lingering_count(const struct lingering *l)
{
	return l->sockets.length;
}
