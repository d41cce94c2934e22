#ifndef DAEMON_PEERS_H
#define DAEMON_PEERS_H

#include <gio/gio.h>

#include "kw.pb-c.h"
#include "process/members.h"
#include "process/traffic.h"
#include "settings.h"

/*
 * peers - links to the other daemons of the cell, one to each.
 *
 * Of two daemons the one whose name sorts first dials. A link carries other messages only after
 * both sides have sent a Hello with the same cell and protocol version.
 */
struct peers;

/* Handles one message; e is valid until it returns. */
typedef void (*peers_message_fn)(void *ctx, const char *peer, const Kw__Envelope *e);
/*
 * Called when the link to a peer came up or goes down. Then peers_unwritten() still tells which
 * frames were not written.
 */
typedef void (*peers_state_fn)(void *ctx, const char *peer, bool up);

/* peers_create - incarnation identifies this process in its Hello. */
struct peers *peers_create(const struct settings *set, struct members *members,
			   struct traffic *traffic, uint64_t incarnation);
void peers_destroy(struct peers *p);
/* peers_listen - starts to accept links; false with the error in st. */
bool peers_listen(struct peers *p, struct status *st);

/* peers_on_message - sets the handler of a kind of message; there may be only one. */
void peers_on_message(struct peers *p, Kw__Envelope__BodyCase kind, peers_message_fn fn, void *ctx);
/* peers_on_state - adds a function to call when a link comes up or goes down. */
void peers_on_state(struct peers *p, peers_state_fn fn, void *ctx);

/* peers_dial - dials missing links; called periodically and when the members changed. */
void peers_dial(struct peers *p);
/* peers_drop - closes the link to a peer that no longer responds. */
void peers_drop(struct peers *p, const char *peer);
/*
 * peers_send - queues a message. False if the link isn't up or can't queue it. tag identifies the
 * frame for peers_unwritten(), 0 for none.
 */
bool peers_send(struct peers *p, const char *peer, const Kw__Envelope *e, uint64_t tag);
/* peers_is_up - true if the link to peer is open and its Hello was received. */
bool peers_is_up(const struct peers *p, const char *peer);
/* peers_incarnation - incarnation of the peer's process, 0 if its link isn't up. */
uint64_t peers_incarnation(const struct peers *p, const char *peer);
/* peers_unwritten - true if no byte of the frame with this tag was passed to the socket. */
bool peers_unwritten(const struct peers *p, const char *peer, uint64_t tag);

/* peers_link_kind - same data centre, other data centre or other region. */
enum traffic_link peers_link_kind(const struct peers *p, const char *peer);

#endif
