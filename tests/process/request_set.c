#include <string.h>

#include <criterion/criterion.h>

#include "request_set.h"

struct sent_request {
	char *tag;
	struct reply *reply;
};

struct request_set {
	struct cell *cell;
	const char *service;
	GArray *sent; /* of struct sent_request */
	int64_t answer_bytes;
	unsigned int wanted_begun;
};

struct request_set *request_set_create(struct cell *c, const char *service)
{
	struct request_set *w = g_new0(struct request_set, 1);

	w->cell = c;
	w->service = service;
	w->answer_bytes = -1;
	w->sent = g_array_new(FALSE, FALSE, sizeof(struct sent_request));
	return w;
}

void request_set_destroy(struct request_set *w)
{
	for (guint i = 0; i < w->sent->len; i++)
		g_free(g_array_index(w->sent, struct sent_request, i).tag);
	g_array_unref(w->sent);
	g_free(w);
}

void request_set_expect_bytes(struct request_set *w, int64_t answer_bytes)
{
	w->answer_bytes = answer_bytes;
}

/* Makes a UUIDv7: keys carry the time at which they were made. */
static char *make_key(void)
{
	uint64_t ms = (uint64_t)(g_get_real_time() / 1000);

	return g_strdup_printf("%08x-%04x-7%03x-8%03x-%08x%04x", (uint32_t)(ms >> 16),
			       (uint32_t)(ms & 0xffff), g_random_int() & 0xfff,
			       g_random_int() & 0xfff, g_random_int(), g_random_int() & 0xffff);
}

static char *next_tag(struct request_set *w)
{
	return g_strdup_printf("%s-%u", w->service, cell_call_count(w->cell));
}

static void send_request(struct request_set *w, unsigned int i, char *tag, const char *more,
			 const char *key)
{
	g_autofree char *body = g_strdup_printf("{\"tag\":\"%s\",\"echo\":\"%s\"%s%s}", tag, tag,
						more ? "," : "", more ? more : "");
	struct sent_request s = { .tag = tag };

	s.reply = cell_request(w->cell, i, w->service, body, 30000, key);
	g_array_append_val(w->sent, s);
}

void request_set_send(struct request_set *w, unsigned int i, unsigned int n, const char *more)
{
	for (unsigned int k = 0; k < n; k++) {
		g_autofree char *key = strcmp(w->service, CELL_ONCE) ? NULL : make_key();

		send_request(w, i, next_tag(w), more, key);
	}
}

void request_set_send_twice(struct request_set *w, unsigned int i, unsigned int j, const char *more)
{
	g_autofree char *key = make_key();
	char *tag = next_tag(w);

	send_request(w, i, g_strdup(tag), more, key);
	send_request(w, j, tag, more, key);
}

static unsigned int count_runs(const struct records *r, const char *tag)
{
	return records_count(r, "run_begin", NULL, tag);
}

unsigned int request_set_begun_count(struct request_set *w)
{
	struct records *r = cell_records(w->cell);
	unsigned int n = 0;

	for (guint i = 0; i < w->sent->len; i++)
		n += count_runs(r, g_array_index(w->sent, struct sent_request, i).tag) > 0;
	records_destroy(r);
	return n;
}

unsigned int request_set_run_count(struct request_set *w)
{
	struct records *r = cell_records(w->cell);
	GHashTable *tags = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int n = 0;

	for (guint i = 0; i < w->sent->len; i++) {
		char *tag = g_array_index(w->sent, struct sent_request, i).tag;

		if (g_hash_table_add(tags, tag))
			n += count_runs(r, tag);
	}
	g_hash_table_unref(tags);
	records_destroy(r);
	return n;
}

static bool has_begun(struct cell *c, void *ctx)
{
	struct request_set *w = ctx;

	return request_set_begun_count(w) >= w->wanted_begun;
}

bool request_set_wait_begun(struct request_set *w, unsigned int n, unsigned int wait_ms)
{
	w->wanted_begun = n;
	return cell_wait_until(w->cell, has_begun, w, wait_ms);
}

/* Returns the counter of the outcome of a request. */
static unsigned int *outcome_counter(const struct request_set *w, const struct sent_request *s,
				     const struct records *r, struct request_outcomes *sum)
{
	const struct reply *reply = s->reply;

	if (reply_is_complete(reply, s->tag, w->answer_bytes))
		return count_runs(r, s->tag) ? &sum->complete : &sum->wrong;
	if (!strcmp(reply->outcome, "not_run"))
		return count_runs(r, s->tag) ? &sum->wrong : &sum->not_run;
	if (!strcmp(reply->outcome, "failed"))
		return &sum->failed;
	if (!strcmp(reply->outcome, "unknown"))
		return &sum->unknown;
	if (reply->status == 0)
		return &sum->no_answer;
	if (reply->status == 200 && (reply->error[0] || reply->total_bytes < reply->length_bytes))
		return &sum->cut;
	return &sum->wrong;
}

struct request_outcomes request_set_wait(struct request_set *w, unsigned int wait_ms)
{
	struct request_outcomes sum = { 0 };
	struct records *r;

	cr_expect(cell_wait(w->cell, wait_ms), "some requests were not answered");
	r = cell_records(w->cell);
	for (guint i = 0; i < w->sent->len; i++) {
		const struct sent_request *s = &g_array_index(w->sent, struct sent_request, i);
		unsigned int *count = outcome_counter(w, s, r, &sum);

		(*count)++;
		if (count != &sum.complete)
			g_printerr("%s: %u %s %s %.400s\n", s->tag, s->reply->status,
				   s->reply->outcome, s->reply->error, s->reply->head);
	}
	records_destroy(r);
	return sum;
}
