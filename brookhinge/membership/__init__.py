"""A view of the fleet kept by the routers themselves: who is there, how surely and since when.

After SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018); see
docs/design/membership.md.

    claims.py                what one router states about a process
    view.py                  what is known of each member, and which of two claims about it holds
    messages.py, codec.py    typed messages, and the datagrams that carry them
    peer.py                  the protocol of one router; it asks the parts below in order
    local_member.py          the identity of this process, shared by all parts
    updates.py               what a claim changes and sets off
    failure_detector.py      probes; with suspicion.py and local_health.py
    dissemination.py         piggybacked updates and gossip; with broadcast_queue.py, notice_queue.py
    anti_entropy.py          comparing and repairing views
    byte_budget.py           a token bucket for what these two send
    joining.py               finding the fleet and fetching the view; with join_progress.py
    incarnation_conflict.py  two processes under one name
    fleet_size.py            by how many a limit of the whole fleet is divided
    udp_transport.py         joins a peer, and the cores of core.py, to UDP on an asyncio loop
    status_query.py          an observer's questions to one router
    safety_notices.py        what members tell of servers and purges
    warm_start.py            what a router that has just started is told

Times are float seconds of one monotonic clock per process; no moment of another process's clock is ever
compared.
"""
