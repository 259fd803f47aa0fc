/* Has chosen calls of the process that loads it fail for a time, as Linux documents that they may.
 *
 * FAIL_CALLS="accept:24:0.5:2000:6000;recv:110:0.05:2000:6000": call, errno, share of calls, from and to in
 * milliseconds after the library was loaded.  recv and send stand for all calls that read or write a connected TCP
 * socket; only sockets are touched.  FAIL_SEED seeds the draw.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_RULES 16

struct rule {
    char call[16];
    int error;
    double share;
    double from_ms;
    double to_ms;
};

static struct rule rules[MOST_RULES];
static int rule_count;
static double loaded_at;
static uint64_t state = 88172645463325252u;

static double now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1e3 + now.tv_nsec / 1e6;
}

static double draw(void)
{
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (double)(state >> 11) / (double)(1ull << 53);
}

__attribute__((constructor)) static void load_rules(void)
{
    const char *text = getenv("FAIL_CALLS"), *seed = getenv("FAIL_SEED");
    loaded_at = now_ms();
    if (seed)
        state += strtoull(seed, NULL, 10) * 2654435761u;
    while (text && *text && rule_count < MOST_RULES) {
        struct rule *rule = &rules[rule_count];
        if (sscanf(text, "%15[^:]:%d:%lf:%lf:%lf", rule->call, &rule->error, &rule->share, &rule->from_ms,
                   &rule->to_ms) == 5)
            rule_count++;
        text = strchr(text, ';');
        text = text ? text + 1 : NULL;
    }
}

static int fails(const char *call)
{
    double since = now_ms() - loaded_at;
    for (int i = 0; i < rule_count; i++)
        if (!strcmp(rules[i].call, call) && since >= rules[i].from_ms && since < rules[i].to_ms
            && draw() < rules[i].share) {
            errno = rules[i].error;
            return 1;
        }
    return 0;
}

static int connected(int fd)
{
    struct sockaddr_storage peer;
    socklen_t size = sizeof peer;
    int before = errno, found = getpeername(fd, (struct sockaddr *)&peer, &size) == 0 && peer.ss_family == AF_INET;
    errno = before;
    return found;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    return fails("accept") ? -1 : REAL(accept)(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    return fails("accept") ? -1 : REAL(accept4)(fd, address, size, flags);
}

int socket(int domain, int type, int protocol)
{
    return domain == AF_INET && fails("socket") ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    return address->sa_family == AF_INET && fails("connect") ? -1 : REAL(connect)(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size)
{
    return rule_count && connected(fd) && fails("recv") ? -1 : REAL(read)(fd, data, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    return rule_count && connected(fd) && fails("recv") ? -1 : REAL(recv)(fd, data, size, flags);
}

ssize_t write(int fd, const void *data, size_t size)
{
    return rule_count && connected(fd) && fails("send") ? -1 : REAL(write)(fd, data, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    return rule_count && connected(fd) && fails("send") ? -1 : REAL(writev)(fd, parts, count);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    return rule_count && connected(fd) && fails("send") ? -1 : REAL(send)(fd, data, size, flags);
}
