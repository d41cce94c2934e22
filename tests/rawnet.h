#ifndef TESTS_RAWNET_H
#define TESTS_RAWNET_H

#include <stdbool.h>
#include <stdint.h>

#include <gio/gio.h>

/*
 * rawnet - TCP sockets on 127.0.0.1 for tests, in the default main context. A socket that
 * can't be created, bound or connected fails the test. Sockets are non-blocking and owned by the
 * caller (raw_close).
 */
#define RAW_HOST "127.0.0.1"

/* raw_listen - returns a socket that listens on an ephemeral port. */
GSocket *raw_listen(uint16_t *port);
/* raw_connect - returns a connected socket. */
GSocket *raw_connect(uint16_t port);
/* raw_close - closes and unrefs a socket; with reset the peer sees ECONNRESET. */
void raw_close(GSocket *sock, bool reset);
/* raw_free_port - returns a port on which nothing listens. */
uint16_t raw_free_port(void);
/* raw_send - runs the main loop until all data is written. */
void raw_send(GSocket *sock, const void *data, size_t size);
/* raw_receive - appends all available data to in; false after the peer has closed. */
bool raw_receive(GSocket *sock, GByteArray *in);
/* raw_wait_until - runs the main loop until done(ctx); false after 10 s. */
bool raw_wait_until(bool (*done)(void *ctx), void *ctx);
/* raw_settle - runs the main loop for at least 2 ms and until no source is ready. */
void raw_settle(void);

#endif
