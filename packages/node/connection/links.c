#include <netinet/in.h>
#include <netinet/tcp.h>

#include "links_priv.h"
#include "log.h"

#define UNACKED_TIMEOUT_MS 1000 /* how long sent bytes may stay unacknowledged */
#define TICK_MS		   50
#define STALL_MS	   250 /* longer gaps between ticks extend timeouts: the process was paused */
#define BACKLOG		   256
#define ACCEPT_RETRY_MS	   100 /* while there is no free descriptor, accepting fails at once */

/*
 * TCP_USER_TIMEOUT closes the connection to a peer behind a network partition. The socket timeout
 * that was set for connecting is cleared, since it would also close an idle link.
 */
void links_set_timeouts(GSocketConnection *conn)
{
	GSocket *sock = g_socket_connection_get_socket(conn);

	g_socket_set_timeout(sock, 0);
	g_socket_set_option(sock, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS, NULL);
}

static void accept_next(struct links *l);

static gboolean on_accept_retry(gpointer data)
{
	struct links *l = data;

	l->accept_timer = 0;
	accept_next(l);
	return G_SOURCE_REMOVE;
}

static void on_accepted(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GSocketConnection) conn =
		g_socket_listener_accept_finish(G_SOCKET_LISTENER(src), res, NULL, &err);
	struct links *l = data;

	if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		if (conn)
			g_io_stream_close(G_IO_STREAM(conn), NULL, NULL);
		return;
	}
	if (conn) {
		linkpeers_add(l, conn);
		accept_next(l);
		return;
	}
	log_warn("accept", NULL, "%s", err->message);
	l->accept_timer = g_timeout_add(ACCEPT_RETRY_MS, on_accept_retry, l);
}

static void accept_next(struct links *l)
{
	g_socket_listener_accept_async(l->listener, l->accepting, on_accepted, l);
}

/* Messages that arrived while this process stood still have not been read yet. */
static void extend_timeouts(struct links *l, int64_t stalled_ms)
{
	l->scheduler_heard_ms += stalled_ms;
	linkpeers_extend_timeouts(l, stalled_ms);
}

static gboolean on_tick(gpointer data)
{
	struct links *l = data;
	int64_t now = node_now_ms();

	if (now - l->last_tick_ms > STALL_MS)
		extend_timeouts(l, now - l->last_tick_ms);
	l->last_tick_ms = now;
	linkpeers_tick(l, now);
	uplink_tick(l, now);
	return G_SOURCE_CONTINUE;
}

struct links *links_create(const char *self, const char *dc, uint32_t cpu_milli,
			   const struct links_ops *ops, void *ctx)
{
	struct links *l = g_new0(struct links, 1);

	l->self = g_strdup(self);
	l->dc = g_strdup(dc);
	l->cpu_milli = cpu_milli;
	l->ops = ops;
	l->ctx = ctx;
	l->received.max_bytes = LINKS_RECEIVED_MAX_BYTES;
	l->queued.max_bytes = LINKS_QUEUED_MAX_BYTES;
	linkpeers_create(l);
	uplink_create(l);
	l->last_tick_ms = node_now_ms();
	l->timer = g_timeout_add(TICK_MS, on_tick, l);
	return l;
}

uint64_t links_first_call(void)
{
	return (uint64_t)g_random_int() << 32;
}

bool links_listen(struct links *l, const char *ip, uint16_t port, struct status *st)
{
	g_autoptr(GInetAddress) inet = g_inet_address_new_from_string(ip);
	g_autoptr(GSocketAddress) addr = inet ? g_inet_socket_address_new(inet, port) : NULL;
	g_autoptr(GError) err = NULL;

	if (!addr)
		return status_set(st, STATUS_INVALID, "listen", ip, "not an IP address");
	g_clear_object(&l->listener);
	l->listener = g_socket_listener_new();
	g_socket_listener_set_backlog(l->listener, BACKLOG);
	if (!g_socket_listener_add_address(l->listener, addr, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, NULL, &err))
		return status_set(st, STATUS_UNAVAILABLE, "listen", ip, "link port %u: %s", port,
				  err->message);
	l->accepting = g_cancellable_new();
	accept_next(l);
	return true;
}

void links_destroy(struct links *l)
{
	if (!l)
		return;
	g_source_remove(l->timer);
	if (l->accept_timer)
		g_source_remove(l->accept_timer);
	if (l->accepting)
		g_cancellable_cancel(l->accepting);
	if (l->listener)
		g_socket_listener_close(l->listener);
	g_clear_object(&l->listener);
	g_clear_object(&l->accepting);
	linkpeers_destroy(l);
	uplink_destroy(l);
	g_free(l->dc);
	g_free(l->self);
	g_free(l);
}
