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
	struct request_set *set = g_new0(struct request_set, 1);

	set->cell = c;
	set->service = service;
	set->answer_bytes = -1;
	set->sent = g_array_new(FALSE, FALSE, sizeof(struct sent_request));
	return set;
}

void request_set_destroy(struct request_set *set)
{
	for (guint i = 0; i < set->sent->len; i++)
		g_free(g_array_index(set->sent, struct sent_request, i).tag);
	g_array_unref(set->sent);
	g_free(set);
}

void request_set_expect_bytes(struct request_set *set, int64_t answer_bytes)
{
	set->answer_bytes = answer_bytes;
}

/* Makes a UUIDv7: keys carry the time at which they were made. */
static char *make_key(void)
{
	uint64_t ms = (uint64_t)(g_get_real_time() / 1000);

	return g_strdup_printf("%08x-%04x-7%03x-8%03x-%08x%04x", (uint32_t)(ms >> 16),
			       (uint32_t)(ms & 0xffff), g_random_int() & 0xfff,
			       g_random_int() & 0xfff, g_random_int(), g_random_int() & 0xffff);
}

static char *next_tag(struct request_set *set)
{
	return g_strdup_printf("%s-%u", set->service, cell_call_count(set->cell));
}

static void send_request(struct request_set *set, unsigned int i, char *tag, const char *more,
			 const char *key)
{
	g_autofree char *body = g_strdup_printf("{\"tag\":\"%s\",\"echo\":\"%s\"%s%s}", tag, tag,
						more ? "," : "", more ? more : "");
	struct sent_request s = { .tag = tag };

	s.reply = cell_request(set->cell, i, set->service, body, 30000, key);
	g_array_append_val(set->sent, s);
}

void request_set_send(struct request_set *set, unsigned int i, unsigned int n, const char *more)
{
	for (unsigned int k = 0; k < n; k++) {
		g_autofree char *key = strcmp(set->service, CELL_ONCE) ? NULL : make_key();

		send_request(set, i, next_tag(set), more, key);
	}
}

void request_set_send_twice(struct request_set *set, unsigned int i, unsigned int j,
			    const char *more)
{
	g_autofree char *key = make_key();
	char *tag = next_tag(set);

	send_request(set, i, g_strdup(tag), more, key);
	send_request(set, j, tag, more, key);
}

static unsigned int count_runs(const struct records *r, const char *tag)
{
	return records_count(r, "run_begin", NULL, tag);
}

unsigned int request_set_begun_count(struct request_set *set)
{
	struct records *r = cell_records(set->cell);
	unsigned int n = 0;

	for (guint i = 0; i < set->sent->len; i++)
		n += count_runs(r, g_array_index(set->sent, struct sent_request, i).tag) > 0;
	records_destroy(r);
	return n;
}

unsigned int request_set_run_count(struct request_set *set)
{
	struct records *r = cell_records(set->cell);
	GHashTable *tags = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int n = 0;

	for (guint i = 0; i < set->sent->len; i++) {
		char *tag = g_array_index(set->sent, struct sent_request, i).tag;

		if (g_hash_table_add(tags, tag))
			n += count_runs(r, tag);
	}
	g_hash_table_unref(tags);
	records_destroy(r);
	return n;
}

static bool has_begun(struct cell *c, void *ctx)
{
	struct request_set *set = ctx;

	return request_set_begun_count(set) >= set->wanted_begun;
}

bool request_set_wait_begun(struct request_set *set, unsigned int n, unsigned int wait_ms)
{
	set->wanted_begun = n;
	return cell_wait_until(set->cell, has_begun, set, wait_ms);
}

/* Returns the counter of the outcome of a request. */
static unsigned int *outcome_counter(const struct request_set *set, const struct sent_request *s,
				     const struct records *r, struct request_outcomes *sum)
{
	const struct reply *reply = s->reply;

	if (reply_is_complete(reply, s->tag, set->answer_bytes))
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

struct request_outcomes request_set_wait(struct request_set *set, unsigned int wait_ms)
{
	struct request_outcomes sum = { 0 };
	struct records *r;

	cr_expect(cell_wait(set->cell, wait_ms), "some requests were not answered");
	r = cell_records(set->cell);
	for (guint i = 0; i < set->sent->len; i++) {
		const struct sent_request *s = &g_array_index(set->sent, struct sent_request, i);
		unsigned int *count = outcome_counter(set, s, r, &sum);

		(*count)++;
		if (count != &sum.complete)
			g_printerr("%s: %u %s %s %.400s\n", s->tag, s->reply->status,
				   s->reply->outcome, s->reply->error, s->reply->head);
	}
	records_destroy(r);
	return sum;
}
