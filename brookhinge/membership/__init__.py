"""Decentralized membership: the routers of a fleet track one another's state among themselves.

The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W
2018); see docs/design/membership.md.

    claims.py                the claim type: what one router states about a process
    view.py                  the merged state of all members, and the precedence of claims
    messages.py, codec.py    typed messages, and the datagrams that carry them
    peer.py                  the protocol state machine of one router; runs the modules below in order
    local_member.py          the identity and view of this process, shared by the other modules
    updates.py               merges claims and queues what must be sent on
    failure_detector.py      probes; with suspicion.py and local_health.py
    dissemination.py         piggybacked updates and gossip; with broadcast_queue.py and notice_queue.py
    anti_entropy.py          comparing and repairing views
    byte_budget.py           a token bucket that limits the bytes sent by these two
    joining.py               contacting the seeds and fetching the view; with join_progress.py
    incarnation_conflict.py  resolves two processes under one name
    fleet_size.py            how many routers share a fleet-wide limit
    udp_transport.py         runs a peer, and the protocols of core.py, over UDP on an asyncio loop
    status_query.py          reads one router's state without joining the fleet
    safety_notices.py        drains, removals and purges reported by members
    warm_start.py            state that a router fetches from a member when it starts

Times are float seconds of the process's own monotonic clock. Timestamps of different processes' clocks are
never compared.
"""
