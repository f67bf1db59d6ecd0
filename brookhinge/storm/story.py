"""A router's log told as a story: when there was a storm, how it was seen, how it was damped, when it ended. No I/O."""

import json

QUIET = ("calm", "busy")


def read(lines):
    """The log's lines as objects, in order; how many could not be read."""
    rows, unreadable = [], 0
    for line in lines:
        try:
            row = json.loads(line)
            row["at"] + 0.0, row["event"]
            rows.append(row)
        except (ValueError, KeyError, TypeError):
            unreadable += bool(line.strip())
    return sorted(rows, key=lambda row: row["at"]), unreadable


def episodes(rows):
    """Each storm, or crowd of one client: times in Unix seconds, figures of the lines that fall into it. A router that
    starts anew in the middle ends what it knew of it."""
    told, now = [], None
    for row in rows:
        if row["event"] == "storm" and row.get("state") not in QUIET:
            if now is None:
                now = dict(
                    router=row.get("router", ""),
                    begin=row["at"],
                    end=None,
                    kind=row["state"],
                    connects_s=0.0,
                    queries_s=0.0,
                    returns=0.0,
                    networks=0.0,
                    queries=0,
                    satisfied=0,
                    nacked=0,
                    errored=0,
                    again=0,
                    beside=0,
                    lines=0,
                    restarted=False,
                )
                told.append(now)
            if row["state"] == "storm":
                now["kind"] = "storm"
            for key in ("connects_s", "queries_s", "returns", "networks"):
                now[key] = max(now[key], row.get(key, 0.0))
        elif now is not None and row["event"] == "storm":
            now["end"], now = row["at"], None
        elif now is not None and row["event"] == "phase" and row.get("phase") == "ready":
            now["end"], now["restarted"], now = row["at"], True, None
        elif now is not None and row["event"] == "figures":
            now["lines"] += 1
            for key in ("queries", "satisfied", "nacked", "errored", "again", "beside"):
                now[key] += row.get(key, 0)
    return told


def share(part, whole):
    return f"{100.0 * part / whole:.0f}%" if whole else "none"


def sentences(episode, clock):
    """The story of one, as lines of text. clock(at): how a moment is written."""
    what = "a storm" if episode["kind"] == "storm" else "a crowd from one or two networks"
    begin, end = episode["begin"], episode["end"]
    yield f"{clock(begin)} {what} at {episode['router'] or 'a router'}"
    yield (
        f"  seen by {episode['connects_s']:g} connections a second from about {episode['networks']:g} networks, "
        f"{episode['queries_s']:g} queries a second, {100 * episode['returns']:.0f}% of them returns"
    )
    if episode["lines"]:
        asked = episode["queries"]
        yield (
            f"  damped: of {asked} queries {share(episode['satisfied'], asked)} were satisfied and "
            f"{share(episode['nacked'], asked)} told to come back; {episode['again']} were retries counted under their "
            f"first try, {episode['beside']} waited for what was out"
        )
    if end is None:
        yield "  not over when the log ends"
    elif episode["restarted"]:
        yield f"  the router started anew after {end - begin:.0f} s: its plan of returns went with it"
    else:
        yield f"  over after {end - begin:.0f} s"
