/* A shim for the soak test, loaded into one process by LD_PRELOAD: it steps that process's wall clock and lets its system
 * calls fail, come short or write nothing, as the control block says that the driver shares with it.
 *
 * The control block is a file of 4,096 bytes that SOAK_CONTROL names, mapped by driver and process; its layout is that of
 * `struct control`, which benchmarks/soak/shim.py packs. Rates are failures in a million calls. Sockets other than IPv4
 * streams, and the descriptors 0 to 2, are left alone. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_DESCRIPTORS 65536
#define MILLION 1000000u
#define NANOSECONDS 1000000000LL
#define LONGEST_SHORT_CALL 16

struct control {
    int64_t wall_offset_ns;
    uint32_t accept, socket, connect, receive, send, shorten, upstream, file_write, file_sync;
    uint32_t failed;            /* counted here: calls that were made to fail or come short */
};

static struct control calm;
static struct control *control = &calm;
static uint64_t chance_state = 88172645463325252ULL;
static unsigned char is_upstream[MOST_DESCRIPTORS]; /* descriptors on which connect was called */

static const int ACCEPT_ERRORS[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR};
static const int SOCKET_ERRORS[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, EINTR, ENOBUFS};
static const int PASSING_ERRORS[] = {EINTR, ENOMEM, ENOBUFS, EAGAIN};
static const int UPSTREAM_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ENETUNREACH};
static const int FILE_ERRORS[] = {ENOSPC, EIO, EDQUOT};

#define REAL(name) ((__typeof__(&name))real(#name))
#define ANY_OF(errors) (errors[chance() % (sizeof(errors) / sizeof(errors[0]))])

static void *real(const char *name)
{
    return dlsym(RTLD_NEXT, name);
}

static uint32_t chance(void)
{
    chance_state ^= chance_state << 13;
    chance_state ^= chance_state >> 7;
    chance_state ^= chance_state << 17;
    return (uint32_t)(chance_state >> 11);
}

static int happens(uint32_t rate)
{
    if (!rate || chance() % MILLION >= rate)
        return 0;
    __sync_fetch_and_add(&control->failed, 1);
    return 1;
}

static int fails_with(int error)
{
    errno = error;
    return -1;
}

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("SOAK_CONTROL");
    if (!path)
        return;
    int handle = open(path, O_RDWR | O_CLOEXEC);
    if (handle < 0)
        return;
    void *mapped = mmap(NULL, 4096, PROT_READ | PROT_WRITE, MAP_SHARED, handle, 0);
    close(handle);
    if (mapped != MAP_FAILED)
        control = mapped;
    chance_state ^= (uint64_t)getpid() << 32 ^ (uint64_t)getpid();
}

/* the wall clock */

static int is_wall(clockid_t id)
{
    return id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE;
}

int clock_gettime(clockid_t id, struct timespec *at)
{
    static __typeof__(&clock_gettime) next;
    if (!next)
        next = REAL(clock_gettime);
    int result = next(id, at);
    if (result == 0 && is_wall(id)) {
        int64_t total = at->tv_sec * NANOSECONDS + at->tv_nsec + control->wall_offset_ns;
        at->tv_sec = total / NANOSECONDS;
        at->tv_nsec = total % NANOSECONDS;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now))
        return -1;
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at)
        *at = now.tv_sec;
    return now.tv_sec;
}

/* sockets */

static int is_known(int handle)
{
    return handle > 2 && handle < MOST_DESCRIPTORS;
}

static int is_stream(int handle)
{
    int kind = 0, domain = 0;
    socklen_t size = sizeof(int);
    return is_known(handle) && !getsockopt(handle, SOL_SOCKET, SO_TYPE, &kind, &size) && kind == SOCK_STREAM &&
           !getsockopt(handle, SOL_SOCKET, SO_DOMAIN, &domain, &size) && domain == AF_INET;
}

int socket(int domain, int type, int protocol)
{
    if (domain == AF_INET && (type & SOCK_STREAM) && happens(control->socket))
        return fails_with(ANY_OF(SOCKET_ERRORS));
    int handle = REAL(socket)(domain, type, protocol);
    if (is_known(handle))
        is_upstream[handle] = 0;
    return handle;
}

int accept4(int handle, struct sockaddr *restrict address, socklen_t *restrict size, int flags)
{
    if (happens(control->accept))
        return fails_with(ANY_OF(ACCEPT_ERRORS));
    int made = REAL(accept4)(handle, address, size, flags);
    if (is_known(made))
        is_upstream[made] = 0;
    return made;
}

int connect(int handle, const struct sockaddr *address, socklen_t size)
{
    if (is_known(handle) && address->sa_family == AF_INET) {
        is_upstream[handle] = 1;
        if (happens(control->connect))
            return fails_with(ANY_OF(CONNECT_ERRORS));
    }
    return REAL(connect)(handle, address, size);
}

static size_t shortened(int handle, size_t size)
{
    if (size > LONGEST_SHORT_CALL && control->shorten && is_stream(handle) && happens(control->shorten))
        return 1 + chance() % LONGEST_SHORT_CALL;
    return size;
}

static int socket_error(int handle, uint32_t passing)
{
    if (!(passing || control->upstream) || !is_stream(handle))
        return 0;
    if (happens(passing))
        return ANY_OF(PASSING_ERRORS);
    if (is_upstream[handle] && happens(control->upstream))
        return ANY_OF(UPSTREAM_ERRORS);
    return 0;
}

ssize_t recv(int handle, void *data, size_t size, int flags)
{
    int error = socket_error(handle, control->receive);
    if (error)
        return fails_with(error);
    return REAL(recv)(handle, data, flags & MSG_PEEK ? size : shortened(handle, size), flags);
}

ssize_t send(int handle, const void *data, size_t size, int flags)
{
    int error = socket_error(handle, control->send);
    if (error)
        return fails_with(error);
    return REAL(send)(handle, data, shortened(handle, size), flags);
}

/* files */

static int file_fails(int handle, uint32_t rate)
{
    struct stat about;
    if (!rate || handle <= 2 || fstat(handle, &about) || !S_ISREG(about.st_mode) || !happens(rate))
        return 0;
    errno = ANY_OF(FILE_ERRORS);
    return 1;
}

ssize_t write(int handle, const void *data, size_t size)
{
    return file_fails(handle, control->file_write) ? -1 : REAL(write)(handle, data, size);
}

ssize_t pwrite(int handle, const void *data, size_t size, off_t offset)
{
    return file_fails(handle, control->file_write) ? -1 : REAL(pwrite)(handle, data, size, offset);
}

ssize_t pwrite64(int handle, const void *data, size_t size, off64_t offset)
{
    return file_fails(handle, control->file_write) ? -1 : REAL(pwrite64)(handle, data, size, offset);
}

/* Half of what was to be written is on the disk when the failure comes. */
static ssize_t write_some(int handle, const struct iovec *parts, int count, off64_t offset)
{
    if (!file_fails(handle, control->file_write))
        return -2;
    int error = errno;
    if (count > 0 && parts[0].iov_len > 1 && chance() % 2)
        return REAL(pwrite64)(handle, parts[0].iov_base, parts[0].iov_len / 2, offset);
    return fails_with(error);
}

ssize_t pwritev(int handle, const struct iovec *parts, int count, off_t offset)
{
    ssize_t done = write_some(handle, parts, count, offset);
    return done != -2 ? done : REAL(pwritev)(handle, parts, count, offset);
}

ssize_t pwritev64(int handle, const struct iovec *parts, int count, off64_t offset)
{
    ssize_t done = write_some(handle, parts, count, offset);
    return done != -2 ? done : REAL(pwritev64)(handle, parts, count, offset);
}

ssize_t pwritev2(int handle, const struct iovec *parts, int count, off_t offset, int flags)
{
    ssize_t done = write_some(handle, parts, count, offset);
    return done != -2 ? done : REAL(pwritev2)(handle, parts, count, offset, flags);
}

ssize_t pwritev64v2(int handle, const struct iovec *parts, int count, off64_t offset, int flags)
{
    ssize_t done = write_some(handle, parts, count, offset);
    return done != -2 ? done : REAL(pwritev64v2)(handle, parts, count, offset, flags);
}

int fsync(int handle)
{
    return file_fails(handle, control->file_sync) ? -1 : REAL(fsync)(handle);
}

int fdatasync(int handle)
{
    return file_fails(handle, control->file_sync) ? -1 : REAL(fdatasync)(handle);
}
