/* Shifts the wall clock of one process, while it runs.
 *
 * GLADELANE_CLOCK_FILE names a file of two 64-bit numbers in the machine's order: the shift in nanoseconds,
 * which a test writes, and the count of shifted readings, which this library raises. The monotonic clocks
 * are left as they are, as a step of a machine's wall clock leaves them.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000LL
#define NS_PER_US 1000LL

struct shared {
    _Atomic int64_t shift_ns;
    _Atomic int64_t readings;
};

static struct shared *shared;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void load(void)
{
    real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    const char *path = getenv("GLADELANE_CLOCK_FILE");
    if (path == NULL)
        return;
    int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *place = mmap(NULL, sizeof(struct shared), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (place != MAP_FAILED)
        shared = place;
}

static int is_wall_clock(clockid_t clock)
{
    return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
}

int clock_gettime(clockid_t clock, struct timespec *reading)
{
    if (real_clock_gettime == NULL) /* called by another library's constructor */
        real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(clock, reading);
    if (result != 0 || shared == NULL || !is_wall_clock(clock))
        return result;
    int64_t ns = reading->tv_sec * NS_PER_S + reading->tv_nsec + atomic_load(&shared->shift_ns);
    reading->tv_sec = ns / NS_PER_S;
    reading->tv_nsec = ns % NS_PER_S;
    atomic_fetch_add(&shared->readings, 1);
    return 0;
}

int gettimeofday(struct timeval *restrict reading, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0)
        return -1;
    reading->tv_sec = now.tv_sec;
    reading->tv_usec = now.tv_nsec / NS_PER_US;
    return 0;
}

time_t time(time_t *place)
{
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0)
        return (time_t)-1;
    if (place != NULL)
        *place = now.tv_sec;
    return now.tv_sec;
}
