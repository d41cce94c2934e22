#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "members.h"
#include "voter.h"

#define VOTERS_MAX 3
/* Lists of daemons remembered; keys from before the oldest are refused. */
#define LISTS_MAX 32

struct key_entry {
	uint8_t key[UUID7_BYTES];
	uint64_t team;		/* hash */
	XXH128_hash_t claimant; /* hash */
	uint64_t claim;
	int64_t key_ms;	 /* timestamp of the key */
	uint8_t outcome; /* enum outcome, OUTCOME_NONE while not finished */
};

struct dc_list {
	int64_t since_ms;
	char **names; /* NULL-terminated */
};

struct voter {
	struct voter_conf conf;
	char *self;
	int64_t list_read_ms; /* last read of the list */
	int64_t wall_ms;      /* latest time seen, so that a clock set back doesn't revive keys */
	GHashTable *keys;     /* struct key_entry, as a set */
	GQueue *by_arrival;   /* struct key_entry, in order of arrival */
	GQueue *lists;	      /* struct dc_list, oldest first */
};

static guint entry_hash(gconstpointer p)
{
	const struct key_entry *e = p;

	return (guint)XXH64(e->key, sizeof(e->key), e->team);
}

static gboolean entry_equal(gconstpointer a, gconstpointer b)
{
	const struct key_entry *x = a;
	const struct key_entry *y = b;

	return x->team == y->team && memcmp(x->key, y->key, sizeof(x->key)) == 0;
}

static void list_free(gpointer p)
{
	struct dc_list *l = p;

	g_strfreev(l->names);
	g_free(l);
}

struct voter *voter_create(const struct voter_conf *conf)
{
	struct voter *v = g_new0(struct voter, 1);

	g_assert(conf->guard_ms > conf->skew_ms);
	v->conf = *conf;
	v->self = g_strdup(conf->self);
	v->conf.self = v->self;
	v->wall_ms = conf->start_wall_ms;
	v->keys = g_hash_table_new_full(entry_hash, entry_equal, g_free, NULL);
	v->by_arrival = g_queue_new();
	v->lists = g_queue_new();
	return v;
}

void voter_destroy(struct voter *v)
{
	if (!v)
		return;
	g_queue_free(v->by_arrival);
	g_queue_free_full(v->lists, list_free);
	g_hash_table_destroy(v->keys);
	g_free(v->self);
	g_free(v);
}

size_t voter_key_count(const struct voter *v)
{
	return g_hash_table_size(v->keys);
}

/* Advances the clock, which never goes back, and removes expired keys. */
static void advance(struct voter *v, int64_t wall_ms)
{
	struct key_entry *e;

	v->wall_ms = MAX(v->wall_ms, wall_ms);
	while ((e = g_queue_peek_head(v->by_arrival)) && e->key_ms + v->conf.keep_ms < v->wall_ms) {
		g_queue_pop_head(v->by_arrival);
		g_hash_table_remove(v->keys, e);
	}
}

static bool same_names(char **have, const char *const *names, size_t n)
{
	if (g_strv_length(have) != n)
		return false;
	for (size_t i = 0; i < n; i++)
		if (!g_strv_contains((const gchar *const *)have, names[i]))
			return false;
	return true;
}

void voter_set_list(struct voter *v, const char *const *names, size_t n, int64_t wall_ms)
{
	struct dc_list *last = g_queue_peek_tail(v->lists);
	struct dc_list *l;

	advance(v, wall_ms);
	v->list_read_ms = MAX(v->list_read_ms, wall_ms);
	if (last && same_names(last->names, names, n))
		return;
	l = g_new0(struct dc_list, 1);
	l->since_ms = v->wall_ms;
	l->names = g_new0(char *, n + 1);
	for (size_t i = 0; i < n; i++)
		l->names[i] = g_strdup(names[i]);
	g_queue_push_tail(v->lists, l);
	if (g_queue_get_length(v->lists) > LISTS_MAX)
		list_free(g_queue_pop_head(v->lists));
}

/* True if this daemon is among the first three of the list for key. */
static bool is_voter(const struct voter *v, const struct dc_list *l, const char *key)
{
	uint64_t own = members_score(v->self, key);
	bool listed = false;
	int before = 0;

	for (char **name = l->names; *name; name++) {
		if (strcmp(*name, v->self) == 0)
			listed = true;
		else if (members_score(*name, key) > own)
			before++;
	}
	return listed && before < VOTERS_MAX;
}

/* The list that this daemon had at wall_ms; NULL if it is not remembered. */
static GList *list_at(const struct voter *v, int64_t wall_ms)
{
	for (GList *i = v->lists->tail; i; i = i->prev) {
		const struct dc_list *l = i->data;

		if (l->since_ms <= wall_ms)
			return i;
	}
	return NULL;
}

static bool list_is_stale(const struct voter *v)
{
	return v->conf.stale_ms && v->wall_ms - v->list_read_ms > v->conf.stale_ms;
}

/*
 * True if this daemon has been a voter of key since guard_ms before key_ms, so that no daemon that
 * it replaced can have granted the key.
 */
static bool was_voter_since(const struct voter *v, const char *key, int64_t key_ms)
{
	int64_t from_ms = key_ms - v->conf.guard_ms;
	GList *i;

	if (from_ms < v->conf.start_wall_ms)
		return false;
	if (!v->self)
		return true;
	if (list_is_stale(v))
		return false;
	i = list_at(v, from_ms);
	if (!i)
		return false;
	for (; i; i = i->next)
		if (!is_voter(v, i->data, key))
			return false;
	return true;
}

uint32_t voter_count_voters(const struct voter *v, const char *key)
{
	int64_t key_ms;
	GList *i = NULL;
	uint32_t largest = 1;

	if (!list_is_stale(v) && uuid7_time_ms(key, &key_ms))
		i = list_at(v, key_ms - v->conf.guard_ms);
	if (!i)
		return VOTERS_MAX;
	for (; i; i = i->next) {
		const struct dc_list *l = i->data;

		largest = MAX(largest, g_strv_length(l->names));
	}
	return MIN(largest, VOTERS_MAX);
}

static struct key_entry *find_key(const struct voter *v, const char *team, const char *key)
{
	struct key_entry e = { .team = XXH64(team, strlen(team), 0) };

	if (!uuid7_parse(key, e.key))
		return NULL;
	return g_hash_table_lookup(v->keys, &e);
}

static struct key_entry *add_key(struct voter *v, const char *team, const char *key, int64_t key_ms)
{
	struct key_entry *e = g_new0(struct key_entry, 1);

	uuid7_parse(key, e->key);
	e->team = XXH64(team, strlen(team), 0);
	e->key_ms = key_ms;
	g_hash_table_add(v->keys, e);
	g_queue_push_tail(v->by_arrival, e);
	return e;
}

static enum vote vote_known(const struct key_entry *e, XXH128_hash_t claimant, uint64_t claim,
			    enum outcome *out)
{
	if (e->outcome != OUTCOME_NONE) {
		*out = (enum outcome)e->outcome;
		return VOTE_KEY_FINISHED;
	}
	if (e->claim == claim && XXH128_isEqual(e->claimant, claimant))
		return VOTE_KEY_GRANTED;
	return VOTE_KEY_TAKEN;
}

enum vote voter_ask(struct voter *v, const char *team, const char *key, const char *claimant,
		    uint64_t claim, int64_t wall_ms, enum outcome *out)
{
	XXH128_hash_t claimant_hash = XXH3_128bits(claimant, strlen(claimant));
	struct key_entry *e;
	int64_t key_ms;

	*out = OUTCOME_NONE;
	advance(v, wall_ms);
	e = find_key(v, team, key);
	if (e)
		return vote_known(e, claimant_hash, claim, out);
	if (!uuid7_time_ms(key, &key_ms))
		return VOTE_KEY_TOO_OLD;
	if (key_ms > v->wall_ms + v->conf.skew_ms)
		return VOTE_KEY_TOO_NEW;
	if (key_ms + v->conf.keep_ms < v->wall_ms || !was_voter_since(v, key, key_ms))
		return VOTE_KEY_TOO_OLD;
	if (voter_key_count(v) >= v->conf.keys_max)
		return VOTE_KEY_FULL;
	e = add_key(v, team, key, key_ms);
	e->claimant = claimant_hash;
	e->claim = claim;
	return VOTE_KEY_GRANTED;
}

void voter_finish(struct voter *v, const char *team, const char *key, enum outcome out,
		  int64_t wall_ms)
{
	struct key_entry *e;
	int64_t key_ms;

	advance(v, wall_ms);
	e = find_key(v, team, key);
	if (!e) {
		if (!uuid7_time_ms(key, &key_ms) || voter_key_count(v) >= v->conf.keys_max)
			return;
		if (key_ms + v->conf.keep_ms < v->wall_ms || key_ms > v->wall_ms + v->conf.skew_ms)
			return;
		e = add_key(v, team, key, key_ms);
	}
	/* The first outcome stands; only an unknown one may be replaced. */
	if (e->outcome == OUTCOME_NONE || e->outcome == OUTCOME_UNKNOWN)
		e->outcome = (uint8_t)out;
}
