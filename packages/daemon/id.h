#ifndef DAEMON_ID_H
#define DAEMON_ID_H

/* id_make - writes a new UUIDv7 with the current time into id. */
void id_make(char id[37]);

#endif
