#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#define PAGE SOURCE_ROOT "/docs/metrics.md"

static void check_source(const char *path, const char *page)
{
	g_autoptr(GRegex) name = g_regex_new("\\bkw_[a-z]+(_[a-z]+)*\\b", 0, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	g_autofree char *text = NULL;

	cr_assert(g_file_get_contents(path, &text, NULL, NULL));
	for (g_regex_match(name, text, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL)) {
		g_autofree char *found = g_match_info_fetch(match, 0);
		g_autofree char *row = g_strdup_printf("| `%s` |", found);

		cr_expect(strstr(page, row), "%s of %s is not in docs/metrics.md", found, path);
	}
}

static int check_folder(const char *path, const char *page)
{
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	const char *name;
	int sources = 0;

	cr_assert_not_null(dir, "%s", path);
	while ((name = g_dir_read_name(dir))) {
		g_autofree char *full = g_build_filename(path, name, NULL);

		if (g_file_test(full, G_FILE_TEST_IS_DIR)) {
			sources += check_folder(full, page);
		} else if (g_str_has_suffix(name, ".c")) {
			check_source(full, page);
			sources++;
		}
	}
	return sources;
}

/* The page has a row for each metric that is named in a source. */
Test(docs, metrics_page_is_complete)
{
	g_autofree char *page = NULL;

	cr_assert(g_file_get_contents(PAGE, &page, NULL, NULL));
	cr_expect_gt(check_folder(SOURCE_ROOT "/packages/daemon", page), 10);
	cr_expect_gt(check_folder(SOURCE_ROOT "/packages/node", page), 4);
	cr_expect_gt(check_folder(SOURCE_ROOT "/platform", page), 4);
}

static void check_links(const char *name)
{
	g_autoptr(GRegex) link = g_regex_new("\\]\\(([^)#:]+)(#[^)]*)?\\)", 0, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	g_autofree char *path = g_build_filename(SOURCE_ROOT "/docs", name, NULL);
	g_autofree char *text = NULL;

	cr_assert(g_file_get_contents(path, &text, NULL, NULL));
	for (g_regex_match(link, text, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL)) {
		g_autofree char *to = g_match_info_fetch(match, 1);
		g_autofree char *full = g_build_filename(SOURCE_ROOT "/docs", to, NULL);

		cr_expect(g_file_test(full, G_FILE_TEST_EXISTS), "%s links to %s", name, to);
	}
}

/* Pages link to source files; the test fails if such a file was moved. */
Test(docs, links_exist)
{
	g_autoptr(GDir) dir = g_dir_open(SOURCE_ROOT "/docs", 0, NULL);
	const char *name;

	cr_assert_not_null(dir);
	while ((name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".md"))
			check_links(name);
}
