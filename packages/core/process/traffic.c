#include <glib.h>

#include "traffic.h"

struct traffic {
	struct traffic_row row[TRAFFIC_ROLES][TRAFFIC_LINKS][TRAFFIC_DIRS];
};

struct traffic *traffic_create(void)
{
	struct traffic *t = g_new0(struct traffic, 1);

	for (int r = 0; r < TRAFFIC_ROLES; r++)
		for (int l = 0; l < TRAFFIC_LINKS; l++)
			for (int d = 0; d < TRAFFIC_DIRS; d++)
				t->row[r][l][d] = (struct traffic_row){
					.role = (enum traffic_role)r,
					.link = (enum traffic_link)l,
					.dir = (enum traffic_dir)d,
				};
	return t;
}

void traffic_destroy(struct traffic *t)
{
	g_free(t);
}

void traffic_add(struct traffic *t, enum traffic_role role, enum traffic_link link,
		 enum traffic_dir dir, uint64_t bytes, uint64_t data_bytes)
{
	struct traffic_row *row;

	g_assert(role < TRAFFIC_ROLES && link < TRAFFIC_LINKS && dir < TRAFFIC_DIRS);
	g_assert(data_bytes <= bytes);
	row = &t->row[role][link][dir];
	row->messages++;
	row->control_bytes += bytes - data_bytes;
	row->data_bytes += data_bytes;
}

size_t traffic_rows(const struct traffic *t, struct traffic_row *row, size_t n)
{
	const struct traffic_row *all = &t->row[0][0][0];
	size_t rows = 0;

	for (size_t i = 0; i < sizeof(t->row) / sizeof(*all); i++) {
		if (all[i].messages == 0)
			continue;
		if (rows < n)
			row[rows] = all[i];
		rows++;
	}
	return rows;
}

const char *traffic_role_name(enum traffic_role role)
{
	static const char *const names[TRAFFIC_ROLES] = {
		[ROLE_GATEWAY] = "gateway",	 [ROLE_COORDINATOR] = "coordinator",
		[ROLE_OWNER] = "owner",		 [ROLE_MEMBERSHIP] = "membership",
		[ROLE_CONFIG] = "configuration", [ROLE_JOBS] = "jobs",
	};

	return role < TRAFFIC_ROLES ? names[role] : "invalid";
}

const char *traffic_link_name(enum traffic_link link)
{
	static const char *const names[TRAFFIC_LINKS] = {
		[LINK_CALLER] = "caller",     [LINK_SAME_DC] = "same_dc",
		[LINK_OTHER_DC] = "other_dc", [LINK_OTHER_REGION] = "other_region",
		[LINK_PLATFORM] = "platform", [LINK_WORKER] = "worker",
	};

	return link < TRAFFIC_LINKS ? names[link] : "invalid";
}
