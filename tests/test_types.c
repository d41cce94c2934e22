#include <criterion/criterion.h>

#include "process/types.h"

struct fit_case {
	struct res want;
	struct res have;
	bool fits;
};

Test(types, res_fits_in_every_dimension)
{
	static const struct fit_case cases[] = {
		{ { 1, 1, 0 }, { 1, 1, 0 }, true },  { { 2, 1, 0 }, { 1, 1, 0 }, false },
		{ { 1, 2, 0 }, { 1, 1, 0 }, false }, { { 1, 1, 1 }, { 1, 1, 0 }, false },
		{ { 0, 0, 0 }, { 0, 0, 0 }, true },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		cr_expect_eq(res_fits(&cases[i].want, &cases[i].have), cases[i].fits, "case %zu",
			     i);
}

Test(types, names_round_trip)
{
	for (int i = 0; i < WORK_CLASSES; i++) {
		enum work_class class;

		cr_expect(work_class_parse(work_class_name((enum work_class)i), &class));
		cr_expect_eq(class, i);
	}
	for (int i = 0; i < OUTCOMES; i++) {
		enum outcome out;

		cr_expect(outcome_parse(outcome_name((enum outcome)i), &out));
		cr_expect_eq(out, i);
	}
}
