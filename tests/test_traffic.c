#include <criterion/criterion.h>

#include "process/traffic.h"

Test(traffic, control_and_data_are_counted_apart)
{
	struct traffic *t = traffic_create();
	struct traffic_row row[2];

	cr_assert_eq(traffic_rows(t, row, 2), 0);
	traffic_add(t, ROLE_OWNER, LINK_WORKER, TRAFFIC_OUT, 500, 300);
	traffic_add(t, ROLE_OWNER, LINK_WORKER, TRAFFIC_OUT, 50, 0);
	traffic_add(t, ROLE_GATEWAY, LINK_SAME_DC, TRAFFIC_IN, 7, 7);
	traffic_add(t, ROLE_JOBS, LINK_PLATFORM, TRAFFIC_IN, 1, 0);
	cr_assert_eq(traffic_rows(t, row, 2), 3);
	cr_expect_eq(row[0].role, ROLE_GATEWAY);
	cr_expect_eq(row[0].link, LINK_SAME_DC);
	cr_expect_eq(row[0].dir, TRAFFIC_IN);
	cr_expect_eq(row[0].control_bytes, 0);
	cr_expect_eq(row[0].data_bytes, 7);
	cr_expect_eq(row[1].role, ROLE_OWNER);
	cr_expect_eq(row[1].messages, 2);
	cr_expect_eq(row[1].control_bytes, 250);
	cr_expect_eq(row[1].data_bytes, 300);
	traffic_destroy(t);
}

Test(traffic, names_are_unique)
{
	for (int i = 0; i < TRAFFIC_ROLES; i++)
		for (int k = 0; k < i; k++)
			cr_expect_str_neq(traffic_role_name((enum traffic_role)i),
					  traffic_role_name((enum traffic_role)k));
	for (int i = 0; i < TRAFFIC_LINKS; i++)
		for (int k = 0; k < i; k++)
			cr_expect_str_neq(traffic_link_name((enum traffic_link)i),
					  traffic_link_name((enum traffic_link)k));
}
