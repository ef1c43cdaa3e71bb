/* Makes calls on the files of one folder fail by a plan, in the process that preloads it (LD_PRELOAD).
 *
 * TERNQUAY_DISK_PLAN names a file of lines `CALL ERRNO START END RATE`: open, write or fsync, an error's number or -1
 * for a short write, seconds from the start of the process, and the part of the calls that fail. TERNQUAY_DISK_FOLDER
 * is the folder, TERNQUAY_DISK_LOG a file that has a line `CALL ERRNO` for each call that failed.
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

#define FAULTS_MOST 64
#define SHORT (-1)

struct fault {
    char call[8];
    int error;
    double start, end, rate;
};

static struct fault faults[FAULTS_MOST];
static int fault_count, log_descriptor = -1;
static char folder[4096];
static double began;

static double seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

__attribute__((constructor)) static void load(void)
{
    const char *plan = getenv("TERNQUAY_DISK_PLAN"), *where = getenv("TERNQUAY_DISK_FOLDER");
    const char *log = getenv("TERNQUAY_DISK_LOG");
    FILE *file = plan != NULL ? fopen(plan, "r") : NULL;
    if (file == NULL || where == NULL || log == NULL)
        return;
    while (fault_count < FAULTS_MOST) {
        struct fault *one = &faults[fault_count];
        if (fscanf(file, "%7s %d %lf %lf %lf", one->call, &one->error, &one->start, &one->end, &one->rate) != 5)
            break;
        fault_count++;
    }
    fclose(file);
    snprintf(folder, sizeof folder, "%s/", where);
    log_descriptor = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    began = seconds();
}

/* The error of a call on that path, 0 for none. */
static int failing(const char *call, const char *path)
{
    if (fault_count == 0 || strncmp(path, folder, strlen(folder)) != 0)
        return 0;
    double now = seconds() - began;
    for (int i = 0; i < fault_count; i++) {
        const struct fault *one = &faults[i];
        if (strcmp(one->call, call) != 0 || now < one->start || now >= one->end || drand48() >= one->rate)
            continue;
        dprintf(log_descriptor, "%s %d\n", call, one->error);
        return one->error;
    }
    return 0;
}

static int failing_descriptor(const char *call, int descriptor)
{
    char link[64], path[4096];
    if (fault_count == 0 || descriptor == log_descriptor)
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0)
        return 0;
    path[length] = '\0';
    return failing(call, path);
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

#define WRITE(name, parameters, arguments, shortened)             \
    ssize_t name parameters                                       \
    {                                                             \
        int error = failing_descriptor("write", descriptor);      \
        if (error == SHORT && size > 1)                           \
            return REAL(name) shortened;                          \
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
        int error = failing_descriptor("fsync", descriptor);      \
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
        int error = failing("open", path);                        \
        if (error > 0) {                                          \
            errno = error;                                        \
            return -1;                                            \
        }                                                         \
        return REAL(name)(path, flags, mode);                     \
    }

OPEN(open)
OPEN(open64)
