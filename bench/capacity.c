/* Compares points with the committed ones; rebuilds or checks the tables of docs/CAPACITY.md. */
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>

#include "compare.h"
#include "page.h"
#include "slopes.h"

enum exit_status { EXIT_OK = 0, EXIT_DIFFERS = 1, EXIT_USAGE = 2, EXIT_UNREADABLE = 3 };

static enum exit_status update_page(const struct slopes *slopes, const char *path, bool check)
{
	struct status st = STATUS_INIT;
	g_autofree char *text = NULL;
	g_autofree char *fresh = NULL;
	g_autoptr(GError) err = NULL;

	if (!g_file_get_contents(path, &text, NULL, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return EXIT_UNREADABLE;
	}
	fresh = page_rebuild(text, slopes, &st);
	if (!fresh) {
		fprintf(stderr, "%s: %s\n", path, st.message);
		return EXIT_UNREADABLE;
	}
	if (strcmp(text, fresh) == 0)
		return EXIT_OK;
	if (check) {
		fprintf(stderr, "%s differs from the slopes: run make capacity\n", path);
		return EXIT_DIFFERS;
	}
	if (!g_file_set_contents(path, fresh, -1, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return EXIT_UNREADABLE;
	}
	return EXIT_OK;
}

static enum exit_status run_command(const char *command, const char *slopes_path, const char *path)
{
	struct status st = STATUS_INIT;
	struct slopes *slopes = slopes_load(slopes_path, &st);
	struct slopes *fresh = NULL;
	enum exit_status result = EXIT_UNREADABLE;

	if (!slopes) {
		fprintf(stderr, "%s\n", st.message);
		return EXIT_UNREADABLE;
	}
	if (strcmp(command, "judge") == 0) {
		fresh = slopes_load(path, &st);
		if (fresh)
			result = compare_points(fresh, slopes, stdout) > 0 ? EXIT_DIFFERS : EXIT_OK;
		else
			fprintf(stderr, "%s\n", st.message);
	} else {
		result = update_page(slopes, path, strcmp(command, "check") == 0);
	}
	if (fresh)
		slopes_destroy(fresh);
	slopes_destroy(slopes);
	return result;
}

int main(int argc, char **argv)
{
	struct arg_str *args = arg_strn(NULL, NULL, "judge|page|check SLOPES FILE", 3, 3,
					"committed points, and new points or the page");
	struct arg_end *end = arg_end(5);
	void *table[] = { args, end };
	static const char *const commands[] = { "judge", "page", "check", NULL };
	enum exit_status result = EXIT_USAGE;

	if (arg_nullcheck(table) == 0 && arg_parse(argc, argv, table) == 0 &&
	    g_strv_contains(commands, args->sval[0])) {
		result = run_command(args->sval[0], args->sval[1], args->sval[2]);
	} else {
		arg_print_errors(stderr, end, "capacity");
		fputs("usage: capacity judge|page|check SLOPES FILE\n", stderr);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return (int)result;
}
