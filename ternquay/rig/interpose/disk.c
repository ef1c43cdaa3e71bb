/* Injects failures into calls on the files of one folder, in the process that preloads it (LD_PRELOAD).
 *
 * TERNQUAY_DISK_PLAN names a file of lines `CALL ERRNO START END RATE`: open, write or fsync; an errno, or -1 for a
 * short write; the interval in seconds since the process started; and the share of the calls that fail.
 * TERNQUAY_DISK_FOLDER is the folder. Each failed call adds a line `CALL ERRNO` to the file TERNQUAY_DISK_LOG.
 * Built by ternquay.rig.disk_faults: cc -shared -fPIC -O1 -o disk.so disk.c
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define MAX_FAULTS 64
#define SHORT_WRITE (-1)

struct fault {
    char call[8];
    int error;
    double start, end, rate;
};

static struct fault faults[MAX_FAULTS];
static int fault_count, log_descriptor = -1;
static char folder[4096];
static double started_at;

static double seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

__attribute__((constructor)) static void load(void)
{
    const char *plan = getenv("TERNQUAY_DISK_PLAN"), *folder_path = getenv("TERNQUAY_DISK_FOLDER");
    const char *log = getenv("TERNQUAY_DISK_LOG");
    FILE *file = plan != NULL ? fopen(plan, "r") : NULL;
    if (file == NULL || folder_path == NULL || log == NULL)
        return;
    while (fault_count < MAX_FAULTS) {
        struct fault *fault = &faults[fault_count];
        if (fscanf(file, "%7s %d %lf %lf %lf", fault->call, &fault->error, &fault->start, &fault->end,
                   &fault->rate) != 5)
            break;
        fault_count++;
    }
    fclose(file);
    snprintf(folder, sizeof folder, "%s/", folder_path);
    log_descriptor = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    started_at = seconds();
}

/* Returns the errno for a call on that path, 0 for none, and logs an injected failure. */
static int draw_error(const char *call, const char *path)
{
    if (fault_count == 0 || strncmp(path, folder, strlen(folder)) != 0)
        return 0;
    double elapsed = seconds() - started_at;
    for (int i = 0; i < fault_count; i++) {
        const struct fault *fault = &faults[i];
        if (strcmp(fault->call, call) != 0 || elapsed < fault->start || elapsed >= fault->end
            || drand48() >= fault->rate)
            continue;
        dprintf(log_descriptor, "%s %d\n", call, fault->error);
        return fault->error;
    }
    return 0;
}

static int draw_descriptor_error(const char *call, int descriptor)
{
    char link[64], path[4096];
    if (fault_count == 0 || descriptor == log_descriptor)
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0)
        return 0;
    path[length] = '\0';
    return draw_error(call, path);
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

#define WRITE(name, parameters, arguments, short_arguments)       \
    ssize_t name parameters                                       \
    {                                                             \
        int error = draw_descriptor_error("write", descriptor);   \
        if (error == SHORT_WRITE && size > 1)                     \
            return REAL(name) short_arguments;                    \
        if (error > 0) {                                          \
            errno = error;                                        \
            return -1;                                            \
        }                                                         \
        return REAL(name) arguments;                              \
    }

WRITE(write, (int descriptor, const void *data, size_t size), (descriptor, data, size), (descriptor, data, size / 2))
WRITE(pwrite, (int descriptor, const void *data, size_t size, off_t at), (descriptor, data, size, at),
      (descriptor, data, size / 2, at))
WRITE(pwrite64, (int descriptor, const void *data, size_t size, off64_t at), (descriptor, data, size, at),
      (descriptor, data, size / 2, at))

#define SYNC(name)                                                \
    int name(int descriptor)                                      \
    {                                                             \
        int error = draw_descriptor_error("fsync", descriptor);   \
        if (error > 0) {                                          \
            errno = error;                                        \
            return -1;                                            \
        }                                                         \
        return REAL(name)(descriptor);                            \
    }

SYNC(fsync)
SYNC(fdatasync)

#define OPEN(name)                                                \
    int name(const char *path, int flags, ...)                    \
    {                                                             \
        mode_t mode = 0;                                          \
        if (flags & (O_CREAT | O_TMPFILE)) {                      \
            va_list rest;                                         \
            va_start(rest, flags);                                \
            mode = va_arg(rest, mode_t);                          \
            va_end(rest);                                         \
        }                                                         \
        int error = draw_error("open", path);                     \
        if (error > 0) {                                          \
            errno = error;                                        \
            return -1;                                            \
        }                                                         \
        return REAL(name)(path, flags, mode);                     \
    }

OPEN(open)
OPEN(open64)
