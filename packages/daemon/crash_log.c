#include <dlfcn.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#include "crash_log.h"

#define LINE_BYTES  320
#define STACK_BYTES 262144
#define GUARD_BYTES 65536 /* a multiple of any page's size */

static const int fatal_signals[] = { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };

/* Signal handlers have no context, so what they need is static. */
static int log_fd = -1;
static int64_t installed_ms;
static uintptr_t image_base;

struct line {
	char text[LINE_BYTES];
	size_t length;
};

/* The functions below are called in a signal handler and use no library but system calls. */

static int64_t clock_ms(clockid_t clock)
{
	struct timespec ts = { 0 };

	clock_gettime(clock, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void add_text(struct line *l, const char *text)
{
	while (*text && l->length < LINE_BYTES)
		l->text[l->length++] = *text++;
}

static void add_number(struct line *l, uint64_t v)
{
	char digits[21];
	size_t at = sizeof(digits) - 1;

	digits[at] = '\0';
	do {
		digits[--at] = (char)('0' + v % 10);
		v /= 10;
	} while (v);
	add_text(l, digits + at);
}

static uintptr_t program_counter(const void *context)
{
#if defined(__x86_64__)
	return (uintptr_t)((const ucontext_t *)context)->uc_mcontext.gregs[REG_RIP];
#elif defined(__aarch64__)
	return (uintptr_t)((const ucontext_t *)context)->uc_mcontext.pc;
#else
	return 0;
#endif
}

static void on_fatal_signal(int signal, siginfo_t *info, void *context)
{
	struct line l = { .length = 0 };
	ssize_t written;

	add_text(&l, "{\"time_ms\":");
	add_number(&l, (uint64_t)clock_ms(CLOCK_REALTIME));
	add_text(&l, ",\"level\":\"error\",\"module\":\"crash\",\"step\":\"signal\",\"signal\":");
	add_number(&l, (uint64_t)signal);
	add_text(&l, ",\"age_ms\":");
	add_number(&l, (uint64_t)(clock_ms(CLOCK_MONOTONIC) - installed_ms));
	add_text(&l, ",\"offset\":");
	add_number(&l, program_counter(context) - image_base);
	add_text(&l, ",\"message\":\"the process ends by this signal\"}\n");
	written = write(log_fd, l.text, l.length);
	(void)written;
	/* SA_RESETHAND has restored the default action, which this takes when the handler returns.
	 */
	raise(signal);
}

/*
 * An overflow of the stack leaves no room for the handler on it. Other handlers that ask for the
 * alternate stack share it, so it has the size of a thread's and a guard below it; one that is
 * there already is kept.
 */
static void install_stack(void)
{
	stack_t old;
	stack_t stack = { .ss_size = STACK_BYTES };
	char *memory;

	if (sigaltstack(NULL, &old) != 0 || !(old.ss_flags & SS_DISABLE))
		return;
	memory = mmap(NULL, GUARD_BYTES + STACK_BYTES, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1,
		      0);
	if (memory == MAP_FAILED)
		return;
	stack.ss_sp = memory + GUARD_BYTES;
	if (mprotect(stack.ss_sp, STACK_BYTES, PROT_READ | PROT_WRITE) == 0)
		sigaltstack(&stack, NULL);
}

void crash_log_install(int fd)
{
	struct sigaction act = { .sa_sigaction = on_fatal_signal,
				 .sa_flags = SA_SIGINFO | SA_RESETHAND | SA_ONSTACK };
	Dl_info image;

	log_fd = fd;
	installed_ms = clock_ms(CLOCK_MONOTONIC);
	if (dladdr((const void *)(uintptr_t)crash_log_install, &image))
		image_base = (uintptr_t)image.dli_fbase;
	install_stack();
	sigemptyset(&act.sa_mask);
	for (size_t i = 0; i < sizeof(fatal_signals) / sizeof(fatal_signals[0]); i++)
		sigaction(fatal_signals[i], &act, NULL);
}
