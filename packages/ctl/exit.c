#include <string.h>

#include "exit.h"

static const char *reply_outcome(const struct reply *reply)
{
	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return "";
	return json_object_get_string_member_with_default(json_node_get_object(reply->json),
							  "outcome", "");
}

enum exit_status exit_of_reply(const struct reply *reply)
{
	const char *outcome = reply_outcome(reply);

	if (strcmp(outcome, "unknown") == 0)
		return EXIT_UNKNOWN;
	switch (reply->http_status) {
	case 409:
		return EXIT_CONFLICT;
	case 429:
	case 503:
		return EXIT_NOT_RUN;
	case 504:
		return strcmp(outcome, "not_run") == 0 ? EXIT_NOT_RUN : EXIT_UNKNOWN;
	default:
		break;
	}
	if (reply->http_status >= 400 && reply->http_status < 500)
		return EXIT_WRONG_INPUT;
	return strcmp(outcome, "not_run") == 0 ? EXIT_NOT_RUN : EXIT_FAILED;
}

enum exit_status exit_of_status(const struct status *st)
{
	switch (st->code) {
	case STATUS_UNKNOWN:
		return EXIT_UNKNOWN;
	case STATUS_UNAVAILABLE:
		return EXIT_UNREACHABLE;
	case STATUS_INVALID:
		return EXIT_USAGE;
	default:
		return EXIT_FAILED;
	}
}
