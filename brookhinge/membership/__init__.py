"""A view of the fleet kept by the routers themselves: who is there, how surely and since when. See
docs/design/membership.md.

    view.py     what is known of each router, and which of two claims about it holds
    peer.py     the protocol of one router: round(now, inbox, writer), no I/O, no clock, no chance of its own
    fleet_size.py  by how many a limit of the whole fleet is divided
    broadcast_queue.py  which claims are still to be told, and how often
    byte_budget.py  a token bucket for the bytes of it
    codec.py    datagrams: keyed checksum, guard against replays, bytes to calls and back
    udp_transport.py  joins a peer to UDP on an asyncio loop

Times are float seconds of one monotonic clock per process; no moment of another process's clock is ever compared.
After SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018)."""
