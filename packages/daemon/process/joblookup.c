#include <string.h>

#include "dispatch_priv.h"

/* A daemon that can read the stream has read the record of an accepted job after this time. */
#define RECORD_WAIT_MS	  2000
#define ACCEPTED_JOBS_MAX 4096

/* Answers a query of another daemon; text is NULL if the job is not known. */
static void reply_text(struct call *c, const char *self, const char *text)
{
	struct call_begin b = { .content_type = "application/json",
				.length_bytes = text ? (int64_t)strlen(text) : 0,
				.status = 200 };
	struct call_end e;

	if (!text) {
		call_end(c, call_end_set(&e, OUTCOME_NOT_RUN, 404, "jobs", self, "no such job"));
		return;
	}
	call_begin(c, &b);
	if (text[0]) {
		g_autoptr(GBytes) data = g_bytes_new(text, strlen(text));

		call_data(c, data);
	}
	call_end_set(&e, OUTCOME_DONE, 200, "jobs", self, "%s", "");
	e.total_bytes = text ? strlen(text) : 0;
	call_end(c, &e);
}

static char *lookup_text(struct dispatch *d, const char *path)
{
	const char *id = strchr(path, '/');

	if (!id)
		return NULL;
	if (g_str_has_prefix(path, "explain/"))
		return jobsview_explain(d, id + 1);
	return jobsview_job(d, id + 1);
}

/* A query for a job whose record is in the stream, but was not read here yet. */
struct pending_query {
	struct dispatch *dispatch;
	struct call *call;
	char *path;
	guint timer;
};

static void pending_query_free(gpointer data)
{
	struct pending_query *q = data;

	if (q->timer)
		g_source_remove(q->timer);
	g_free(q->path);
	g_free(q);
}

static gboolean on_query_timeout(gpointer data)
{
	struct pending_query *q = data;

	q->timer = 0;
	reply_text(q->call, q->dispatch->deps.set->name, NULL);
	g_ptr_array_remove_fast(q->dispatch->pending_queries, q);
	return G_SOURCE_REMOVE;
}

static void on_query_credit(void *ctx, uint32_t bytes)
{
}

static void on_query_cancel(void *ctx, bool lost)
{
	struct pending_query *q = ctx;

	g_ptr_array_remove_fast(q->dispatch->pending_queries, q);
}

static const struct call_server_ops query_ops = {
	.credit = on_query_credit,
	.cancel = on_query_cancel,
};

void joblookup_record_applied(struct dispatch *d)
{
	for (guint i = d->pending_queries->len; i-- > 0;) {
		struct pending_query *q = d->pending_queries->pdata[i];
		g_autofree char *text = lookup_text(d, q->path);

		if (!text)
			continue;
		reply_text(q->call, d->deps.set->name, text);
		g_ptr_array_remove_index_fast(d->pending_queries, i);
	}
}

static void wait_for_record(struct dispatch *d, struct call *c, const char *path)
{
	struct pending_query *q = g_new0(struct pending_query, 1);

	q->dispatch = d;
	q->call = c;
	q->path = g_strdup(path);
	q->timer = g_timeout_add(RECORD_WAIT_MS, on_query_timeout, q);
	call_serve(c, &query_ops, q);
	g_ptr_array_add(d->pending_queries, q);
}

void joblookup_create(struct dispatch *d)
{
	d->pending_queries = g_ptr_array_new_with_free_func(pending_query_free);
	d->accepted_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void joblookup_destroy(struct dispatch *d)
{
	g_ptr_array_unref(d->pending_queries);
	g_hash_table_destroy(d->accepted_jobs);
}

void joblookup_accepted(struct dispatch *d, const char *id, const char *dc)
{
	if (g_hash_table_size(d->accepted_jobs) >= ACCEPTED_JOBS_MAX)
		g_hash_table_remove_all(d->accepted_jobs);
	g_hash_table_replace(d->accepted_jobs, g_strdup(id), g_strdup(dc));
}

void joblookup_serve(void *ctx, struct call *c, const Kw__Call *req)
{
	struct dispatch *d = ctx;
	g_autofree char *text = lookup_text(d, req->path);

	if (!text && req->attach_only)
		wait_for_record(d, c, req->path);
	else
		reply_text(c, d->deps.set->name, text);
}

/* A lookup of a job in other data centres, by one daemon of each in turn. */
struct lookup {
	struct dispatch *dispatch;
	SoupServerMessage *msg;
	char *path;
	char *id;
	GPtrArray *candidates; /* daemons left to query */
	GString *text;
	bool cancel;   /* cancel the job where it is found */
	bool accepted; /* the job was accepted here, so its record is in the stream */
	char *queried;
};

static void query_next(struct lookup *l);

static void lookup_free(struct lookup *l)
{
	g_object_unref(l->msg);
	g_ptr_array_unref(l->candidates);
	g_string_free(l->text, TRUE);
	g_free(l->path);
	g_free(l->id);
	g_free(l->queried);
	g_free(l);
}

static void on_lookup_begin(void *ctx, const struct call_begin *b)
{
}

static void on_lookup_data(void *ctx, GBytes *data)
{
	struct lookup *l = ctx;
	gsize size;
	const char *text = g_bytes_get_data(data, &size);

	g_string_append_len(l->text, text, (gssize)size);
}

static void on_lookup_end(void *ctx, const struct call_end *e)
{
	struct lookup *l = ctx;
	const struct member_info *m;

	if (e->outcome != OUTCOME_DONE) {
		g_string_truncate(l->text, 0);
		query_next(l);
		return;
	}
	if (l->cancel) {
		m = members_find(l->dispatch->deps.members, l->queried);
		jobsapi_cancel(l->dispatch, l->msg, l->id, m ? m->dc : "");
	} else {
		http_reply_json(l->msg, SOUP_STATUS_OK, l->text->str);
		soup_server_message_unpause(l->msg);
	}
	lookup_free(l);
}

static const struct call_requester_ops lookup_ops = {
	.begin = on_lookup_begin,
	.data = on_lookup_data,
	.end = on_lookup_end,
};

static void query_next(struct lookup *l)
{
	struct dispatch *d = l->dispatch;
	Kw__Call c = KW__CALL__INIT;
	struct call_end e;

	c.kind = KW__CALL_KIND__CALL_ADMIN;
	c.path = l->path;
	c.attach_only = l->accepted;
	while (l->candidates->len) {
		g_free(l->queried);
		l->queried = g_ptr_array_steal_index(l->candidates, l->candidates->len - 1);
		if (call_open(d->deps.calls, l->queried, &c, &lookup_ops, l))
			return;
	}
	http_reply_problem(l->msg,
			   call_end_set(&e, OUTCOME_NOT_RUN, 404, "jobs", "",
					"no data centre that can be reached has job %s", l->id));
	soup_server_message_unpause(l->msg);
	lookup_free(l);
}

/* One live daemon of each other data centre, or of only_dc. */
static GPtrArray *pick_candidates(const struct dispatch *d, const char *only_dc)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	const struct member_info *m;
	enum member_state state;

	if (!only_dc)
		g_hash_table_add(seen, d->deps.set->dc);
	for (size_t i = 0; (m = members_get(d->deps.members, i, &state)); i++) {
		if (state != MEMBER_ALIVE || g_hash_table_contains(seen, m->dc) ||
		    !peers_is_up(d->deps.peers, m->name))
			continue;
		if (only_dc && strcmp(m->dc, only_dc) != 0)
			continue;
		g_hash_table_add(seen, (gpointer)m->dc);
		g_ptr_array_add(names, g_strdup(m->name));
	}
	return names;
}

void joblookup_start(struct dispatch *d, SoupServerMessage *msg, const char *kind, const char *id,
		     bool cancel)
{
	struct lookup *l = g_new0(struct lookup, 1);
	const char *dc = g_hash_table_lookup(d->accepted_jobs, id);

	l->dispatch = d;
	l->msg = g_object_ref(msg);
	l->path = g_strdup_printf("%s/%s", kind, id);
	l->id = g_strdup(id);
	l->accepted = dc != NULL;
	if (dc && strcmp(dc, d->deps.set->dc) == 0) {
		l->candidates = g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(l->candidates, g_strdup(d->deps.set->name));
	} else {
		l->candidates = pick_candidates(d, dc);
	}
	l->text = g_string_new(NULL);
	l->cancel = cancel;
	soup_server_message_pause(msg);
	query_next(l);
}
