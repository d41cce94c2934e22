#include <dlfcn.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <unistd.h>

#include "program.h"
#include "start_signals.h"

/* Loads the module from the folder of the file at path. */
static void *load_beside(const char *path)
{
	const char *slash = strrchr(path, '/');
	char module[PATH_MAX];
	int length;

	if (!slash)
		return NULL;
	length =
		snprintf(module, sizeof(module), "%.*s/" PROGRAM_MODULE, (int)(slash - path), path);
	return length < (int)sizeof(module) ? dlopen(module, RTLD_NOW | RTLD_LOCAL) : NULL;
}

/* The part of path below the working directory, or path. */
static const char *below_working_directory(const char *path)
{
	char cwd[PATH_MAX];
	size_t length;

	if (!getcwd(cwd, sizeof(cwd)))
		return path;
	length = strlen(cwd);
	if (strncmp(path, cwd, length) != 0 || path[length] != '/')
		return path;
	return path + length + 1;
}

/*
 * A process may have another view of the file system than the one that started it, so absolute
 * paths may lead elsewhere. The last way is for an executable that was started by a symbolic link.
 */
static void *load_module(void)
{
	const char *path = (const char *)getauxval(AT_EXECFN);
	void *module = path ? load_beside(path) : NULL;

	if (!module && path)
		module = load_beside(below_working_directory(path));
	return module ? module : dlopen(PROGRAM_MODULE, RTLD_NOW | RTLD_LOCAL);
}

/* Otherwise the next files that are opened would get the lines of the log. */
static void open_standard_files(void)
{
	int fd;

	do {
		fd = open("/dev/null", O_RDWR);
	} while (fd >= 0 && fd <= STDERR_FILENO);
	if (fd >= 0)
		close(fd);
}

/*
 * Loading the libraries takes most of the time of a start, and a signal that arrives before its
 * handler is installed ends the process. So the executable links only to libc, and loads the
 * program with all its libraries once these signals are held back.
 */
int main(int argc, char **argv)
{
	program_main_fn run;
	void *module;

	start_signals_block();
	open_standard_files();
	/* GLib's own allocator, which later releases drop, never gives memory back. */
	setenv("G_SLICE", "always-malloc", 0);
	module = load_module();
	run = module ? (program_main_fn)dlsym(module, PROGRAM_MAIN) : NULL;
	if (!run) {
		fprintf(stderr, "knapweedwheeld: %s\n", dlerror());
		return EXIT_FAILURE;
	}
	return run(argc, argv);
}
