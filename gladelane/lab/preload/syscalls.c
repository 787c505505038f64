/* Injects errors and short transfers into the system calls of one process, told from outside while it runs.
 *
 * The environment variable GLADELANE_FAULTS names a file that both sides map. Its layout is the struct below,
 * which `syscalls.py` writes: one slot for each kind of call. A slot that is on has its calls fail with an
 * errno, or transfer one byte, at the given rate; the library counts how often a call was made and how often
 * it injected. Without the variable, or with a file that cannot be mapped, every call passes through.
 *
 * The random numbers of a slot come from its seed and its number of calls, so a run with one thread repeats.
 */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <unistd.h>

#define VERSION 2u

enum call {
    CALL_ACCEPT,
    CALL_SOCKET,
    CALL_CONNECT,
    CALL_SETSOCKOPT,
    CALL_GETSOCKOPT,
    CALL_READ,
    CALL_WRITE,
    CALL_WAIT,
    CALL_EPOLL_CTL,
    CALL_OPEN,
    CALL_SYNC,
    CALL_BIND,
    CALL_LISTEN,
    CALL_GETSOCKNAME,
    CALL_CLOSE,
    CALLS,
};

/* What a descriptor has to be for a slot to act on it: bits, 0 for anything. */
enum scope {
    SCOPE_TCP = 1,        /* IPv4 or IPv6 sockets */
    SCOPE_UNIX = 2,       /* Unix sockets */
    SCOPE_FILE = 4,       /* all that is no socket */
    SCOPE_ACCEPTED = 8,   /* TCP connections that were accepted */
    SCOPE_CONNECTED = 16, /* TCP connections that were dialled */
    SCOPE_UNIX_PEER = 32  /* Unix sockets of either kind, but no pair */
};

struct slot {
    _Atomic uint32_t is_on;
    _Atomic int32_t error; /* 0: a short transfer */
    _Atomic uint32_t rate; /* of 2^32 */
    _Atomic uint32_t scope;
    _Atomic uint32_t port; /* local of a listener or what it accepted, remote of what was dialled; 0: any */
    uint32_t unused;
    _Atomic uint64_t seed;
    _Atomic int64_t most;     /* injections left, below 0: without bound */
    _Atomic uint64_t made;    /* calls in scope while the slot was on */
    _Atomic uint64_t injected;
    _Atomic uint64_t reached; /* calls in all, on or off: shows whether a call can be reached at all */
};

struct shared {
    uint32_t version;
    uint32_t slots;
    struct slot slot[CALLS];
};

#define DESCRIPTORS 65536

static struct shared *shared;
/* By descriptor, from accept and connect on. A descriptor that is reused is noted anew, or is none of these:
 * both are checked against what the descriptor is now. */
static _Atomic uint16_t port_by_fd[DESCRIPTORS];
static _Atomic uint8_t side_by_fd[DESCRIPTORS];

__attribute__((constructor)) static void map_file(void) {
    const char *path = getenv("GLADELANE_FAULTS");
    if (path == NULL)
        return;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    struct stat status;
    if (fstat(fd, &status) == 0 && status.st_size >= (off_t)sizeof(struct shared)) {
        void *mapped = mmap(NULL, sizeof(struct shared), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        if (mapped != MAP_FAILED) {
            shared = mapped;
            if (shared->version != VERSION || shared->slots != CALLS)
                shared = NULL;
        }
    }
    int (*real_close)(int) = dlsym(RTLD_NEXT, "close");
    real_close(fd);
}

static uint32_t mix(uint64_t value) { /* splitmix64 */
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((value ^ (value >> 31)) >> 32);
}

static uint32_t scope_of_family(int family) {
    if (family == AF_INET || family == AF_INET6)
        return SCOPE_TCP;
    return family == AF_UNIX ? SCOPE_UNIX : 0;
}

static uint32_t scope_of(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    static int (*real)(int, int, int, void *, socklen_t *);
    if (real == NULL)
        real = dlsym(RTLD_NEXT, "getsockopt");
    int saved = errno;
    int failed = real(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    int is_no_socket = failed && errno == ENOTSOCK;
    errno = saved;
    if (failed)
        return is_no_socket ? SCOPE_FILE : 0;
    uint32_t scope = scope_of_family(domain);
    uint8_t side = fd < DESCRIPTORS ? side_by_fd[fd] : 0;
    if (scope == SCOPE_UNIX)
        return side ? scope | SCOPE_UNIX_PEER : scope;
    return scope == SCOPE_TCP ? scope | side : scope;
}

static uint16_t port_of(const struct sockaddr *address) {
    if (address->sa_family == AF_INET)
        return ntohs(((const struct sockaddr_in *)address)->sin_port);
    if (address->sa_family == AF_INET6)
        return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
    return 0;
}

static uint16_t local_port(int fd) {
    static int (*real)(int, struct sockaddr *, socklen_t *);
    if (real == NULL)
        real = dlsym(RTLD_NEXT, "getsockname");
    struct sockaddr_storage address = {0};
    socklen_t size = sizeof address;
    int saved = errno;
    int failed = real(fd, (struct sockaddr *)&address, &size);
    errno = saved;
    return failed ? 0 : port_of((struct sockaddr *)&address);
}

static void note(int fd, uint8_t side, uint16_t port) {
    if (shared != NULL && fd >= 0 && fd < DESCRIPTORS) {
        side_by_fd[fd] = side;
        port_by_fd[fd] = port;
    }
}

static uint16_t known_port(int fd) {
    if (fd < 0 || fd >= DESCRIPTORS)
        return 0;
    return side_by_fd[fd] ? port_by_fd[fd] : local_port(fd);
}

/* Whether this call is to be disturbed, and how: an errno, or 0 for a short transfer. */
static int disturbs_scope(enum call call, uint32_t scope, int fd, int *error) {
    if (shared == NULL)
        return 0;
    struct slot *slot = &shared->slot[call];
    atomic_fetch_add_explicit(&slot->reached, 1, memory_order_relaxed);
    if (!atomic_load_explicit(&slot->is_on, memory_order_acquire))
        return 0;
    uint32_t wanted = atomic_load_explicit(&slot->scope, memory_order_relaxed);
    if (wanted && !(wanted & (fd >= 0 ? scope_of(fd) : scope)))
        return 0;
    uint32_t port = atomic_load_explicit(&slot->port, memory_order_relaxed);
    if (port && port != known_port(fd))
        return 0;
    uint64_t number = atomic_fetch_add_explicit(&slot->made, 1, memory_order_relaxed);
    if (mix(atomic_load_explicit(&slot->seed, memory_order_relaxed) ^ (number << 20)) >=
        atomic_load_explicit(&slot->rate, memory_order_relaxed))
        return 0;
    if (atomic_load_explicit(&slot->most, memory_order_relaxed) >= 0 &&
        atomic_fetch_sub_explicit(&slot->most, 1, memory_order_relaxed) <= 0) {
        atomic_store_explicit(&slot->most, 0, memory_order_relaxed);
        return 0;
    }
    atomic_fetch_add_explicit(&slot->injected, 1, memory_order_relaxed);
    *error = atomic_load_explicit(&slot->error, memory_order_relaxed);
    return 1;
}

static int disturbs(enum call call, int fd, int *error) { return disturbs_scope(call, 0, fd, error); }

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

/* For a call that transfers nothing: `syscalls.py` asks for no short transfer there. */
#define FAIL_IF_DISTURBED(call, fd) \
    do { \
        int error_; \
        if (disturbs(call, fd, &error_) && error_) { \
            errno = error_; \
            return -1; \
        } \
    } while (0)

/* --- sockets */

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    FAIL_IF_DISTURBED(CALL_ACCEPT, fd);
    int accepted = real(fd, address, size);
    note(accepted, SCOPE_ACCEPTED, shared != NULL ? local_port(accepted) : 0);
    return accepted;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    FAIL_IF_DISTURBED(CALL_ACCEPT, fd);
    int accepted = real(fd, address, size, flags);
    note(accepted, SCOPE_ACCEPTED, shared != NULL ? local_port(accepted) : 0);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    int error;
    if (disturbs_scope(CALL_SOCKET, scope_of_family(domain), -1, &error) && error) {
        errno = error;
        return -1;
    }
    int made = real(domain, type, protocol);
    note(made, 0, 0);
    return made;
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    int error;
    note(fd, SCOPE_CONNECTED, port_of(address));
    if (disturbs(CALL_CONNECT, fd, &error) && error) {
        /* by connect(2) an interrupted one goes on by itself, and says so once */
        if (error == EINTR)
            (void)real(fd, address, size);
        errno = error;
        return -1;
    }
    return real(fd, address, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    REAL(setsockopt);
    FAIL_IF_DISTURBED(CALL_SETSOCKOPT, fd);
    return real(fd, level, name, value, size);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *size) {
    REAL(getsockopt);
    FAIL_IF_DISTURBED(CALL_GETSOCKOPT, fd);
    return real(fd, level, name, value, size);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(bind);
    FAIL_IF_DISTURBED(CALL_BIND, fd);
    return real(fd, address, size);
}

int listen(int fd, int backlog) {
    REAL(listen);
    FAIL_IF_DISTURBED(CALL_LISTEN, fd);
    return real(fd, backlog);
}

int getsockname(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(getsockname);
    FAIL_IF_DISTURBED(CALL_GETSOCKNAME, fd);
    return real(fd, address, size);
}

/* --- transfers */

/* Sets errno. An error that ends a connection ends it here too: later calls then find its end, as with the
 * system's own errors, which are told once. */
static ssize_t fail_transfer(int fd, int error) {
    if (error == ECONNRESET || error == ETIMEDOUT || error == EHOSTUNREACH || error == EPIPE) {
        static int (*real)(int, int);
        if (real == NULL)
            real = dlsym(RTLD_NEXT, "shutdown");
        (void)real(fd, SHUT_RDWR);
    }
    errno = error;
    return -1;
}

static size_t shortened(size_t size) { return size > 1 ? 1 : size; }

ssize_t read(int fd, void *buffer, size_t size) {
    REAL(read);
    int error;
    if (disturbs(CALL_READ, fd, &error)) {
        if (error)
            return fail_transfer(fd, error);
        size = shortened(size);
    }
    return real(fd, buffer, size);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv);
    int error;
    if (disturbs(CALL_READ, fd, &error)) {
        if (error)
            return fail_transfer(fd, error);
        struct iovec first = {parts[0].iov_base, shortened(parts[0].iov_len)};
        return real(fd, &first, 1);
    }
    return real(fd, parts, count);
}

/* Looks that take no byte (MSG_PEEK) fail too, but are never shortened: they ask for what there is. */
ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    REAL(recv);
    int error;
    if (disturbs(CALL_READ, fd, &error)) {
        if (error)
            return fail_transfer(fd, error);
        if (!(flags & MSG_PEEK))
            size = shortened(size);
    }
    return real(fd, buffer, size, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    int error;
    if (!disturbs(CALL_READ, fd, &error))
        return real(fd, message, flags);
    if (error)
        return fail_transfer(fd, error);
    struct msghdr shorter = *message;
    struct iovec first = {message->msg_iov[0].iov_base, shortened(message->msg_iov[0].iov_len)};
    shorter.msg_iov = &first;
    shorter.msg_iovlen = 1;
    ssize_t size = real(fd, &shorter, flags);
    message->msg_controllen = shorter.msg_controllen;
    message->msg_namelen = shorter.msg_namelen;
    message->msg_flags = shorter.msg_flags;
    return size;
}

ssize_t write(int fd, const void *buffer, size_t size) {
    REAL(write);
    int error;
    if (disturbs(CALL_WRITE, fd, &error)) {
        if (error)
            return fail_transfer(fd, error);
        size = shortened(size);
    }
    return real(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    int error;
    if (disturbs(CALL_WRITE, fd, &error)) {
        if (error)
            return fail_transfer(fd, error);
        struct iovec first = {parts[0].iov_base, shortened(parts[0].iov_len)};
        return real(fd, &first, 1);
    }
    return real(fd, parts, count);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    REAL(send);
    int error;
    if (disturbs(CALL_WRITE, fd, &error)) {
        if (error)
            return fail_transfer(fd, error);
        size = shortened(size);
    }
    return real(fd, buffer, size, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    int error;
    if (!disturbs(CALL_WRITE, fd, &error))
        return real(fd, message, flags);
    if (error)
        return fail_transfer(fd, error);
    struct msghdr shorter = *message;
    struct iovec first = {message->msg_iov[0].iov_base, shortened(message->msg_iov[0].iov_len)};
    shorter.msg_iov = &first;
    shorter.msg_iovlen = 1;
    return real(fd, &shorter, flags);
}

/* --- waits */

int poll(struct pollfd *polled, nfds_t count, int timeout) {
    REAL(poll);
    FAIL_IF_DISTURBED(CALL_WAIT, -1);
    return real(polled, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    FAIL_IF_DISTURBED(CALL_WAIT, -1);
    return real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    FAIL_IF_DISTURBED(CALL_WAIT, -1);
    return real(fd, events, most, timeout, mask);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD)
        FAIL_IF_DISTURBED(CALL_EPOLL_CTL, target);
    return real(fd, operation, target, event);
}

/* --- files */

static mode_t mode_of(int flags, va_list arguments) {
    return flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
}

static int fails_to_open(void) {
    int error;
    if (!disturbs_scope(CALL_OPEN, SCOPE_FILE, -1, &error) || !error)
        return 0;
    errno = error;
    return 1;
}

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = mode_of(flags, arguments); \
        va_end(arguments); \
        return fails_to_open() ? -1 : real(path, flags, mode); \
    }

#define OPENAT(name) \
    int name(int folder, const char *path, int flags, ...) { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = mode_of(flags, arguments); \
        va_end(arguments); \
        return fails_to_open() ? -1 : real(folder, path, flags, mode); \
    }

OPEN(open)
OPEN(open64)
OPENAT(openat)
OPENAT(openat64)

int fsync(int fd) {
    REAL(fsync);
    FAIL_IF_DISTURBED(CALL_SYNC, -1);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    FAIL_IF_DISTURBED(CALL_SYNC, -1);
    return real(fd);
}

/* By close(2) the descriptor is gone whatever the call says. */
int close(int fd) {
    REAL(close);
    int error;
    int is_disturbed = disturbs(CALL_CLOSE, fd, &error);
    note(fd, 0, 0);
    int result = real(fd);
    if (is_disturbed && error && result == 0) {
        errno = error;
        return -1;
    }
    return result;
}

/* libuv closes by number, and adds to epoll through an io_uring of its own where it gets one. Without one it
 * calls epoll_ctl, which is reached; that ring is also refused where the system has none. */
long syscall(long number, ...) {
    REAL(syscall);
    long argument[6];
    va_list arguments;
    va_start(arguments, number);
    for (int place = 0; place < 6; place++)
        argument[place] = va_arg(arguments, long);
    va_end(arguments);
    if (shared != NULL && number == SYS_close)
        return close((int)argument[0]);
    if (shared != NULL && number == SYS_io_uring_setup) {
        errno = ENOSYS;
        return -1;
    }
    return real(number, argument[0], argument[1], argument[2], argument[3], argument[4], argument[5]);
}
