"""By how many a limit of the whole fleet is divided. Counting too few routers lets all together push over a cold server
(rule 4), so whoever may still be alive counts. No I/O, no clock."""

from brookhinge.membership.view import ALIVE, LEFT, SUSPECTED


def sharers(view, now, lease_s, configured, zone=None):
    """Routers that may be using a share of a limit now.

    configured  as many as the settings say there are: those not known yet may be there unseen
    lease_s     how long a router goes on using a figure once it receives nothing from the others
    zone        where one place's limit is meant: those that stand there; else all

    Who is alive or suspected counts. Who was lost counts until `lease_s` after it was last believed alive: it may only
    be cut off. Who left counts as long: it may be back under its name, and not everybody know so yet. So does a process that was replaced under its name without a claim of leaving. Below what the settings
    tell, only a claim of leaving frees a share: two sides of a cut that each gave the other up would together use twice
    the whole."""
    using = sum(now - at < lease_s and zone in (None, there) for at, there in view.ghosts)
    left = 0
    for state, since, there in zip(view.state, view.since, view.zone):
        if zone not in (None, there):
            continue
        lately = now - since < lease_s
        using += state in (ALIVE, SUSPECTED) or lately
        left += state == LEFT and not lately
    return max(using, configured - left, 1)
