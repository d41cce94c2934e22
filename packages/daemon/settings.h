#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * settings - start-up settings of a daemon, read from one YAML file.
 *
 * The file is one flat mapping. Unknown keys, repeated keys and values of the wrong type are
 * errors. examples/knapweedwheeld.yaml explains each key. A field is named after its key; a name
 * ends in its unit, except for counts, ports and strings.
 */

/* X(key, default, maximum bytes); a key with the default NULL is mandatory. */
#define SETTINGS_STRINGS(X)                                                                        \
	X(cell, NULL, 31)                                                                          \
	X(name, NULL, 31)                                                                          \
	X(dc, NULL, 31)                                                                            \
	X(region, NULL, 31)                                                                        \
	X(listen_host, NULL, 45)                                                                   \
	X(platform_url, NULL, 255)                                                                 \
	X(log_level, "info", 15)                                                                   \
	X(policy, "default", 31)

/* X(key, default, minimum, maximum); a key with the default 0 is mandatory. */
#define SETTINGS_NUMBERS(X)                                                                        \
	X(http_port, 0, 1, 65535)                                                                  \
	X(link_port, 0, 1, 65535)                                                                  \
	X(lease_ms, 15000, 100, 600000)                                                            \
	X(task_lease_ms, 45000, 200, 3600000)                                                      \
	X(renew_ms, 5000, 20, 300000)                                                              \
	X(guard_ms, 1000, 1, 60000)                                                                \
	X(drift_ppm, 1000, 1, 100000)                                                              \
	X(reopen_min_ms, 500, 1, 60000)                                                            \
	X(reopen_max_ms, 8000, 1, 600000)                                                          \
	X(beat_ms, 500, 10, 60000)                                                                 \
	X(far_beat_ms, 3000, 10, 600000)                                                           \
	X(suspect_ms, 1500, 20, 300000)                                                            \
	X(dead_ms, 3000, 30, 600000)                                                               \
	X(vms_poll_ms, 2000, 10, 600000)                                                           \
	X(log_wait_ms, 10000, 1, 60000)                                                            \
	X(log_retry_min_ms, 200, 1, 60000)                                                         \
	X(log_retry_max_ms, 5000, 1, 600000)                                                       \
	X(vote_guard_ms, 30000, 1, 600000)                                                         \
	X(vote_stale_ms, 10000, 1, 600000)                                                         \
	X(vote_skew_ms, 5000, 1, 60000)                                                            \
	X(vote_keep_ms, 600000, 1000, 86400000)                                                    \
	X(vote_keys_max, 200000, 1, 10000000)                                                      \
	X(vote_timeout_ms, 1000, 1, 60000)                                                         \
	X(claim_use_ms, 30000, 10, 600000)                                                         \
	X(settle_ms, 5000, 1, 600000)                                                              \
	X(jobs_max, 50000, 1, 1000000)                                                             \
	X(job_keep_ms, 3600000, 1000, 604800000)                                                   \
	X(progress_ms, 500, 1, 60000)                                                              \
	X(snapshot_ms, 1800000, 100, 86400000)                                                     \
	X(dispatch_window, 64, 1, 65536)                                                           \
	X(queue_max, 4096, 1, 1000000)                                                             \
	X(team_queue_max, 1024, 1, 1000000)                                                        \
	X(urgent_reserve_milli, 100, 0, 1000)                                                      \
	X(urgent_start_ms, 1500, 1, 600000)                                                        \
	X(quarantine_starts, 3, 1, 1000)                                                           \
	X(quarantine_min_ms, 1000, 1, 600000)                                                      \
	X(quarantine_max_ms, 60000, 1, 3600000)                                                    \
	X(default_deadline_ms, 30000, 1, 86400000)                                                 \
	X(body_max_bytes, 1048576, 1, 67108864)                                                    \
	X(header_max_bytes, 16384, 1024, 1048576)                                                  \
	X(connections_max, 1024, 1, 65536)                                                         \
	X(chunk_bytes, 65536, 1024, 1048576)                                                       \
	X(credit_bytes, 262144, 1024, 67108864)                                                    \
	X(frame_max_bytes, 2097152, 4096, 134217728)                                               \
	X(link_queue_max_bytes, 8388608, 4096, 1073741824)                                         \
	X(idle_ms, 30000, 10, 3600000)                                                             \
	X(drain_ms, 30000, 1, 3600000)

#define SETTINGS_STRING_FIELD(key, def, max_bytes) char *key;
#define SETTINGS_NUMBER_FIELD(key, def, min, max)  uint32_t key;

struct settings {
	SETTINGS_STRINGS(SETTINGS_STRING_FIELD)
	SETTINGS_NUMBERS(SETTINGS_NUMBER_FIELD)
};

/*
 * settings_load - reads and checks the file at path. *out is owned by the caller (settings_free).
 * On failure *out is unchanged and the message of st is "PATH:LINE: KEY: ERROR".
 */
bool settings_load(const char *path, struct settings **out, struct status *st);
void settings_free(struct settings *s);

/* settings_key - name of the i-th key, NULL after the last one. */
const char *settings_key(size_t i);

#endif
