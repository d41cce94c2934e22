#include "access.h"

bool access_is_confirmed(int64_t confirmed_ms, uint32_t max_age_ms, int64_t now_ms)
{
	return !max_age_ms || now_ms - confirmed_ms < max_age_ms;
}

enum access_result access_check(const struct access_request *req, const struct team **team)
{
	const struct teams *teams = queues_teams(req->queues);

	*team = NULL;
	if (!teams || req->queue->public_access)
		return ACCESS_OK;
	/* The key may also have been added since. */
	if (!access_is_confirmed(req->confirmed_ms, req->max_age_ms, req->now_ms))
		return ACCESS_STALE_CONFIG;
	*team = req->key ? teams_by_key(teams, req->key) : NULL;
	return *team ? ACCESS_OK : ACCESS_UNKNOWN_KEY;
}
