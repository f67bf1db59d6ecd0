"""Whether a server is at fault, by what several routers saw of it. No I/O, no clock, no state.

One router's trouble is not a server's: who sees most servers fail speaks of itself. One router, whatever it says, condemns
nobody: its tries count no more than the median witness's twice over, and three must have seen failures themselves (or all
there are, but two at least). Not more than two in five servers rest for what peers saw: then the cause lies elsewhere."""

BAD, WELL = 0.3, 0.1  # share of failures past which a server is at fault, under which it is well
USUAL = 2.0  # and so many times the median of its peers
WITNESSES, MOST = 3, 0.4
TRIES = 6  # of all witnesses together, before anything is said
OWN = 8  # tries of one's own that went well outweigh what others saw
CLEAR = 3  # trials that went well end a rest


def share(tries, failed):
    return failed / tries if tries else 0.0


def troubled(seen):
    """Routers that see more than two in five of the servers that they try fail, and two at least: it is theirs.

    seen: {server: {router: (tries, failed)}}"""
    tried, bad = {}, {}
    for witnesses in seen.values():
        for router, (tries, failed) in witnesses.items():
            tried[router] = tried.get(router, 0) + 1
            bad[router] = bad.get(router, 0) + (share(tries, failed) >= BAD)
    return {router for router, count in bad.items() if count >= 2 and count > MOST * tried[router]}


def pooled(witnesses):
    """(share of failures, tries, who saw any) of {router: (tries, failed)}; no witness counts for more than twice the
    median one."""
    counts = sorted(tries for tries, _ in witnesses.values())
    if not any(counts):
        return 0.0, 0, 0
    cap = 2 * max(1, counts[(len(counts) - 1) // 2])
    total = sum(min(tries, cap) for tries, _ in witnesses.values())
    failed = sum(share(tries, bad) * min(tries, cap) for tries, bad in witnesses.values())
    return failed / total, sum(counts), sum(bad > 0 for _, bad in witnesses.values())


def at_fault(seen, routers, servers, resting=()):
    """{server: share of failures} of those that the evidence condemns.

    routers: how many stand there and may be witnesses; servers: how many there are to choose from; resting: those that
    rest already, of which evidence is scarce"""
    out = troubled(seen)
    pools = {
        server: pooled({router: told for router, told in witnesses.items() if router not in out})
        for server, witnesses in seen.items()
    }
    shares = sorted([part for part, tries, _ in pools.values() if tries] + [0.0] * (servers - len(pools)))
    usual = shares[(len(shares) - 1) // 2] if shares else 0.0
    need = max(2, min(WITNESSES, routers - len(out)))
    bad = {
        server: part
        for server, (part, tries, saw) in pools.items()
        if part >= BAD and part >= USUAL * usual and tries >= TRIES and saw >= need
    }
    return bad if len(bad.keys() | set(resting)) <= max(1, MOST * servers) else {}


def outweighs(own):
    """Whether what a router saw itself, (tries, failed), goes before what its peers saw fail."""
    return own[0] >= OWN and share(*own) < WELL


def own_trouble(seen, me):
    """Servers that this router alone sees fail while its peers see them well: the fault lies on its own way there."""
    found = []
    for server, witnesses in seen.items():
        tries, failed = witnesses.get(me, (0, 0))
        part, others, _ = pooled({router: told for router, told in witnesses.items() if router != me})
        if tries >= 3 and share(tries, failed) >= BAD and others >= TRIES and part < WELL:
            found.append(server)
    return found
