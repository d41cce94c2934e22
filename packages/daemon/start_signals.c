#include <signal.h>

#include "start_signals.h"

static void change_mask(int how)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(how, &set, NULL);
}

void start_signals_block(void)
{
	change_mask(SIG_BLOCK);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
}

void start_signals_unblock(void)
{
	change_mask(SIG_UNBLOCK);
}
