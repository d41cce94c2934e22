#ifndef TESTS_RAWNET_H
#define TESTS_RAWNET_H

#include <stdbool.h>
#include <stdint.h>

#include <gio/gio.h>

/*
 * rawnet - plain TCP ends on 127.0.0.1 for tests, in the default main context. Every failure of a
 * call here fails the test.
 */
#define RAW_HOST "127.0.0.1"

/* raw_listen - a listening socket on an ephemeral port. */
GSocket *raw_listen(uint16_t *port);
/* raw_connect - a connected non-blocking socket. */
GSocket *raw_connect(uint16_t port);
/* raw_close - closes and drops a socket; with reset the other side sees ECONNRESET. */
void raw_close(GSocket *sock, bool reset);
/* raw_free_port - a port on which nothing listens. */
uint16_t raw_free_port(void);
/* raw_send - writes all of it while the loop runs. */
void raw_send(GSocket *sock, const void *data, size_t size);
/* raw_receive - appends what has arrived to in; false once the other side closed. */
bool raw_receive(GSocket *sock, GByteArray *in);
/* raw_wait_until - runs the loop until done(ctx); false after a generous time-out. */
bool raw_wait_until(bool (*done)(void *ctx), void *ctx);
/* raw_settle - runs the loop until nothing is left to do at once. */
void raw_settle(void);

#endif
