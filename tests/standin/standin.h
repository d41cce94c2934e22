#ifndef STANDIN_H
#define STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/* Listen backlog of the fakes. */
#define STANDIN_BACKLOG 1024

/*
 * standin_listen - serves on host:port, any port if 0, and prints the address to stdout. Returns
 * false with a message on stderr on failure.
 */
bool standin_listen(SoupServer *server, const char *host, uint16_t port);
/* standin_split - splits HOST:PORT. *host is owned by the caller. */
bool standin_split(const char *address, char **host, uint16_t *port);

/* standin_reply - answers with the JSON of b and takes ownership of b. */
void standin_reply(SoupServerMessage *msg, unsigned int code, JsonBuilder *b);
/* standin_error - answers with {"error": text}. */
void standin_error(SoupServerMessage *msg, unsigned int code, const char *text);
/* standin_drop - closes the connection of msg without an answer. */
void standin_drop(SoupServerMessage *msg);
/* standin_body - the request body as an object, NULL if it is not one. Owned by the caller. */
JsonObject *standin_body(SoupServerMessage *msg);

/* standin_set_* - add a member to b. */
void standin_set_int(JsonBuilder *b, const char *name, int64_t value);
void standin_set_str(JsonBuilder *b, const char *name, const char *value);
void standin_set_bool(JsonBuilder *b, const char *name, bool value);

/* standin_int, standin_str, standin_flag - a member of o, or the given default if missing. */
int64_t standin_int(JsonObject *o, const char *name, int64_t otherwise);
const char *standin_str(JsonObject *o, const char *name, const char *otherwise);
bool standin_flag(JsonObject *o, const char *name, bool otherwise);

/* standin_now_ms - monotonic clock, comparable between processes of one machine. */
int64_t standin_now_ms(void);
/* standin_run - runs the default main loop until SIGTERM or SIGINT. */
void standin_run(void);

#endif
