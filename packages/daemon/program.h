#ifndef DAEMON_PROGRAM_H
#define DAEMON_PROGRAM_H

/*
 * program - the daemon without its executable: a module that the executable loads from its own
 * folder. SIGPIPE is ignored and the signals of start_signals are blocked when it is called.
 */
#define PROGRAM_MODULE "libknapweedwheeld.so"
#define PROGRAM_MAIN   "program_main"

/* program_main - runs the daemon; returns the exit status. */
typedef int (*program_main_fn)(int argc, char **argv);
int program_main(int argc, char **argv);

#endif
