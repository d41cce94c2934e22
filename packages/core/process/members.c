#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "members.h"

struct member {
	struct member_info info;
	enum member_state state;
	uint64_t name_hash; /* seed for hashing keys */
	uint64_t incarnation;
	int64_t last_heard_ms; /* last heartbeat; -1 for none yet */
	int64_t suspect_since_ms;
	int64_t gone_since_ms; /* when it stopped being alive or suspect; -1 if it hasn't */
	bool listed;
	bool draining;
	bool conn_refused;
	bool presumed_alive; /* on the first list; no heartbeat yet */
};

struct members {
	struct members_conf conf;
	char self[32];
	char dc[32];
	char region[32];
	GPtrArray *all;	      /* struct member, sorted by name */
	int64_t last_tick_ms; /* -1 for never */
	bool has_list;
	bool changed;
};

static struct member *find(const struct members *m, const char *name)
{
	for (guint i = 0; i < m->all->len; i++) {
		struct member *e = g_ptr_array_index(m->all, i);

		if (strcmp(e->info.name, name) == 0)
			return e;
	}
	return NULL;
}

static uint64_t hash_name(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint64_t members_score(const char *name, const char *key)
{
	return XXH64(key, strlen(key), hash_name(name));
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	const struct member *x = *(const struct member *const *)a;
	const struct member *y = *(const struct member *const *)b;

	return strcmp(x->info.name, y->info.name);
}

static struct member *add(struct members *m, const struct member_info *info)
{
	struct member *e = g_new0(struct member, 1);

	e->info = *info;
	e->name_hash = hash_name(info->name);
	e->last_heard_ms = -1;
	e->gone_since_ms = -1;
	g_ptr_array_add(m->all, e);
	g_ptr_array_sort(m->all, by_name);
	m->changed = true;
	return e;
}

struct members *members_create(const struct members_conf *conf)
{
	struct members *m = g_new0(struct members, 1);
	struct member_info self = { 0 };
	struct member *e;

	m->conf = *conf;
	g_strlcpy(m->self, conf->self, sizeof(m->self));
	g_strlcpy(m->dc, conf->dc, sizeof(m->dc));
	g_strlcpy(m->region, conf->region, sizeof(m->region));
	m->conf.self = m->self;
	m->conf.dc = m->dc;
	m->conf.region = m->region;
	m->last_tick_ms = -1;
	m->all = g_ptr_array_new_with_free_func(g_free);
	g_strlcpy(self.name, conf->self, sizeof(self.name));
	g_strlcpy(self.dc, conf->dc, sizeof(self.dc));
	g_strlcpy(self.region, conf->region, sizeof(self.region));
	e = add(m, &self);
	e->state = MEMBER_ALIVE;
	return m;
}

void members_destroy(struct members *m)
{
	if (!m)
		return;
	g_ptr_array_free(m->all, TRUE);
	g_free(m);
}

static bool is_self(const struct members *m, const struct member *e)
{
	return strcmp(e->info.name, m->self) == 0;
}

/* Heartbeats between data centres are rarer, so timeouts are longer by the same factor. */
static int64_t timeout_ms(const struct members *m, const struct member *e, uint32_t limit_ms)
{
	if (strcmp(e->info.dc, m->dc) == 0 || !m->conf.far_beat_ms || !m->conf.beat_ms)
		return limit_ms;
	return (int64_t)limit_ms * m->conf.far_beat_ms / m->conf.beat_ms;
}

static enum member_state current_state(const struct members *m, const struct member *e,
				       int64_t now_ms)
{
	int64_t silent_ms = now_ms - e->last_heard_ms;

	if (e->info.leaving || e->draining)
		return MEMBER_LEAVING;
	if (is_self(m, e))
		return MEMBER_ALIVE;
	if (e->conn_refused)
		return MEMBER_DEAD;
	if (e->last_heard_ms < 0)
		return MEMBER_ABSENT;
	if (silent_ms >= timeout_ms(m, e, m->conf.dead_ms))
		return e->presumed_alive ? MEMBER_ABSENT : MEMBER_DEAD;
	if (silent_ms >= timeout_ms(m, e, m->conf.suspect_ms))
		return MEMBER_SUSPECT;
	return MEMBER_ALIVE;
}

static void update(struct members *m, struct member *e, int64_t now_ms)
{
	enum member_state state = current_state(m, e, now_ms);
	bool gone = state != MEMBER_ALIVE && state != MEMBER_SUSPECT;

	if (state == e->state)
		return;
	if (state == MEMBER_SUSPECT)
		e->suspect_since_ms = now_ms;
	if (!gone)
		e->gone_since_ms = -1;
	else if (e->gone_since_ms < 0)
		e->gone_since_ms = now_ms;
	e->state = state;
	m->changed = true;
}

/* Keeps a starting daemon from taking over all racks before it has heard from the others. */
static void presume_alive(struct member *e, int64_t now_ms)
{
	e->last_heard_ms = now_ms;
	e->presumed_alive = true;
}

static void update_listed(struct members *m, const struct member_info *info, int64_t now_ms)
{
	struct member *e = find(m, info->name);
	bool fresh = !e;

	if (fresh)
		e = add(m, info);
	if (strcmp(e->info.dc, info->dc) != 0)
		m->changed = true;
	e->info = *info;
	e->listed = true;
	if (fresh && !m->has_list)
		presume_alive(e, now_ms);
	update(m, e, now_ms);
}

/* Removes daemons that are neither listed nor sending heartbeats. */
static void remove_gone(struct members *m)
{
	for (guint i = m->all->len; i > 0; i--) {
		const struct member *e = g_ptr_array_index(m->all, i - 1);

		if (e->listed || is_self(m, e))
			continue;
		if (e->state != MEMBER_DEAD && e->state != MEMBER_ABSENT)
			continue;
		g_ptr_array_remove_index(m->all, i - 1);
		m->changed = true;
	}
}

/*
 * While this daemon itself was paused it could receive no heartbeats. That time doesn't count as
 * silence of the others.
 */
static void discount_pause(struct members *m, int64_t now_ms)
{
	int64_t gap_ms = m->last_tick_ms < 0 ? 0 : now_ms - m->last_tick_ms;

	m->last_tick_ms = now_ms;
	if (gap_ms < m->conf.suspect_ms)
		return;
	for (guint i = 0; i < m->all->len; i++) {
		struct member *e = g_ptr_array_index(m->all, i);

		if (e->last_heard_ms >= 0)
			e->last_heard_ms = MIN(now_ms, e->last_heard_ms + gap_ms);
	}
}

bool members_set_list(struct members *m, const struct member_info *info, size_t n, int64_t now_ms)
{
	discount_pause(m, now_ms);
	for (guint i = 0; i < m->all->len; i++) {
		struct member *e = g_ptr_array_index(m->all, i);

		e->listed = false;
	}
	for (size_t i = 0; i < n; i++)
		update_listed(m, &info[i], now_ms);
	m->has_list = true;
	return members_tick(m, now_ms);
}

static void record_heartbeat(struct members *m, struct member *e, uint64_t incarnation,
			     bool draining, int64_t now_ms)
{
	if (e->incarnation != incarnation)
		m->changed = true;
	e->incarnation = incarnation;
	e->draining = draining;
	e->last_heard_ms = now_ms;
	e->conn_refused = false;
	e->presumed_alive = false;
	update(m, e, now_ms);
}

void members_heartbeat(struct members *m, const char *name, uint64_t incarnation, bool draining,
		       int64_t now_ms)
{
	struct member *e = find(m, name);

	if (e)
		record_heartbeat(m, e, incarnation, draining, now_ms);
}

void members_hello(struct members *m, const struct member_info *info, uint64_t incarnation,
		   int64_t now_ms)
{
	struct member *e = find(m, info->name);

	if (!e)
		e = add(m, info);
	record_heartbeat(m, e, incarnation, false, now_ms);
}

void members_conn_refused(struct members *m, const char *name, int64_t now_ms)
{
	struct member *e = find(m, name);

	if (!e || is_self(m, e))
		return;
	e->conn_refused = true;
	update(m, e, now_ms);
}

bool members_tick(struct members *m, int64_t now_ms)
{
	bool changed;

	discount_pause(m, now_ms);
	for (guint i = 0; i < m->all->len; i++)
		update(m, g_ptr_array_index(m->all, i), now_ms);
	remove_gone(m);
	changed = m->changed;
	m->changed = false;
	return changed;
}

enum member_state members_state(const struct members *m, const char *name)
{
	const struct member *e = find(m, name);

	return e ? e->state : MEMBER_ABSENT;
}

const struct member_info *members_find(const struct members *m, const char *name)
{
	const struct member *e = find(m, name);

	return e ? &e->info : NULL;
}

const struct member_info *members_get(const struct members *m, size_t i, enum member_state *state)
{
	const struct member *e;

	if (i >= m->all->len)
		return NULL;
	e = g_ptr_array_index(m->all, i);
	if (state)
		*state = e->state;
	return &e->info;
}

struct candidate {
	const struct member *member;
	uint64_t score;
};

static gint by_score(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->member->info.name, y->member->info.name);
}

static GArray *rank(const struct members *m, const char *dc, const char *key)
{
	GArray *ranked = g_array_sized_new(FALSE, FALSE, sizeof(struct candidate), m->all->len);
	size_t len = strlen(key);

	for (guint i = 0; i < m->all->len; i++) {
		const struct member *e = g_ptr_array_index(m->all, i);
		struct candidate c = { .member = e, .score = XXH64(key, len, e->name_hash) };

		if (strcmp(e->info.dc, dc) == 0)
			g_array_append_val(ranked, c);
	}
	g_array_sort(ranked, by_score);
	return ranked;
}

/*
 * A suspect daemon keeps its racks but gets no new ones. It is skipped where a higher-ranked daemon
 * has gone since it became suspect, because those racks would be new to it.
 */
static bool keeps_racks(const struct member *e, int64_t gone_ms)
{
	if (e->state == MEMBER_ALIVE)
		return true;
	return e->state == MEMBER_SUSPECT && gone_ms < e->suspect_since_ms;
}

const char *members_owner(const struct members *m, const char *dc, const char *rack)
{
	g_autoptr(GArray) ranked = rank(m, dc, rack);
	int64_t gone_ms = -1;

	for (guint i = 0; i < ranked->len; i++) {
		const struct member *e = g_array_index(ranked, struct candidate, i).member;

		if (keeps_racks(e, gone_ms))
			return e->info.name;
		gone_ms = MAX(gone_ms, e->gone_since_ms);
	}
	return NULL;
}

size_t members_rank(const struct members *m, const char *dc, const char *key, bool live_only,
		    const char **names, size_t n)
{
	g_autoptr(GArray) ranked = rank(m, dc, key);
	size_t found = 0;

	for (guint i = 0; i < ranked->len && found < n; i++) {
		const struct member *e = g_array_index(ranked, struct candidate, i).member;
		bool live = e->state == MEMBER_ALIVE || e->state == MEMBER_SUSPECT;

		if (live_only ? live : e->listed)
			names[found++] = e->info.name;
	}
	return found;
}
