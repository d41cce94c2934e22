#include <string.h>

#include "queues.h"

struct queues {
	uint64_t version;
	GPtrArray *queue;
	GPtrArray *pool;
	struct teams *teams;
};

static void queue_free(gpointer data)
{
	struct queue *q = data;

	g_free(q->name);
	g_free(q->host);
	g_free(q->prefix);
	g_free(q->service);
	g_free(q);
}

static void pool_free(gpointer data)
{
	struct pool *p = data;

	g_free(p->name);
	g_free(p);
}

struct queues *queues_create(uint64_t version)
{
	struct queues *q = g_new0(struct queues, 1);

	q->version = version;
	q->queue = g_ptr_array_new_with_free_func(queue_free);
	q->pool = g_ptr_array_new_with_free_func(pool_free);
	return q;
}

void queues_destroy(struct queues *q)
{
	if (!q)
		return;
	g_ptr_array_unref(q->queue);
	g_ptr_array_unref(q->pool);
	teams_destroy(q->teams);
	g_free(q);
}

uint64_t queues_version(const struct queues *q)
{
	return q->version;
}

void queues_add(struct queues *q, const struct queue *queue)
{
	struct queue *copy = g_memdup2(queue, sizeof(*queue));

	copy->name = g_strdup(queue->name);
	copy->host = g_ascii_strdown(queue->host, -1);
	copy->prefix = g_strdup(queue->prefix);
	copy->service = g_strdup(queue->service);
	g_ptr_array_add(q->queue, copy);
}

void queues_add_pool(struct queues *q, const struct pool *pool)
{
	struct pool *copy = g_memdup2(pool, sizeof(*pool));

	copy->name = g_strdup(pool->name);
	g_ptr_array_add(q->pool, copy);
}

void queues_set_teams(struct queues *q, struct teams *t)
{
	teams_destroy(q->teams);
	q->teams = t;
}

const struct teams *queues_teams(const struct queues *q)
{
	return q->teams;
}

/* Compares the host without its port, ignoring case. */
static bool host_matches(const struct queue *q, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(q->host) == len && g_ascii_strncasecmp(q->host, host, len) == 0;
}

const struct queue *queues_route(const struct queues *q, const char *host, const char *path,
				 const char **rest)
{
	const struct queue *best = NULL;

	for (guint i = 0; i < q->queue->len; i++) {
		const struct queue *c = q->queue->pdata[i];

		if (!host_matches(c, host) || !g_str_has_prefix(path, c->prefix))
			continue;
		if (!best || strlen(c->prefix) > strlen(best->prefix))
			best = c;
	}
	if (best)
		*rest = path + strlen(best->prefix);
	return best;
}

const struct queue *queues_find(const struct queues *q, const char *name)
{
	for (guint i = 0; i < q->queue->len; i++) {
		const struct queue *c = q->queue->pdata[i];

		if (g_str_equal(c->name, name))
			return c;
	}
	return NULL;
}

const struct pool *queues_pool(const struct queues *q, const char *name)
{
	for (guint i = 0; i < q->pool->len; i++) {
		const struct pool *p = q->pool->pdata[i];

		if (g_str_equal(p->name, name))
			return p;
	}
	return NULL;
}

bool queues_more_urgent(const struct queues *q, const char *service, uint32_t priority)
{
	for (guint i = 0; i < q->queue->len; i++) {
		const struct queue *c = q->queue->pdata[i];

		if (c->priority < priority && g_str_equal(c->service, service))
			return true;
	}
	return false;
}
