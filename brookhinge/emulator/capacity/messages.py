"""Messages between the driver and its processes: one JSON value per line over their standard streams."""

import msgspec

from brookhinge.membership.claims import Claim
from brookhinge.operator.capacity import Capacity


class Message(msgspec.Struct, tag=True, array_like=True):
    """Base of all messages, tagged with the class name."""


class Setup(Message):
    """First command: configures the process as a site or a control machine.

    Attributes:
        capacity: The `capacity` block of the layout.
        routers: Number of routers in the fleet.
        seed: Seed of the run.
        mechanism: How purges are distributed, `peers` or `log`.
        site: Index of the site, or -1 for a control machine.
        control: Number of the control machine, or -1 for a site.
        controls: (host, port) of all control machines; empty without the purge log.
    """

    capacity: Capacity
    routers: int
    seed: int
    mechanism: str
    site: int = -1
    control: int = -1
    controls: list[tuple[str, int]] = []


class StartControl(Message):
    """Starts the control machine; answered by Done."""


class StartRouters(Message):
    """Starts all routers of the site; answered by Started.

    Attributes:
        join: Addresses of members to join by.
        hold: Whether the routers stay silent until Begin.
    """

    join: list[tuple[str, int]]
    hold: bool


class Started(Message):
    """Answer with the membership claims and the addresses of the started routers."""

    claims: list[Claim]
    addresses: list[tuple[str, int]]


class Fill(Message):
    """Adds claims of the whole fleet to each view, as in a long-running fleet; answered by Done."""

    claims: list[Claim]


class Begin(Message):
    """Lets routers that were started with `hold` send and receive; no answer."""


class SetCuts(Message):
    """Replaces the cuts in force; no answer."""

    cuts: list[tuple[str, str, str, float, float, bool]]


class Purge(Message):
    """Submits a purge at one router of the site or at a control machine; no answer."""

    number: int
    router: int


class Drain(Message):
    """Submits the drain of a cache server at one router of the site; no answer."""

    number: int
    server: str
    router: int


class SetDemand(Message):
    """Sets the demand on the cache servers; no answer.

    Attributes:
        load: Mean part of their capacity in use, 0 for no demand.
    """

    load: float


class Kill(Message):
    """Stops routers of the site without a clean shutdown; no answer."""

    routers: list[int]


class Restart(Message):
    """Restarts routers of the site, after announcing that they leave if `graceful`; no answer."""

    routers: list[int]
    join: list[tuple[str, int]]
    graceful: bool


class Mark(Message):
    """Requests the current counters; answered by Sample."""


class RouterSample(Message):
    """Counters of one router since its site's process started.

    Attributes:
        name: Name of the router.
        up: Whether it is running.
        sent: Datagrams sent.
        sent_bytes: Bytes sent, with IP and UDP headers.
        received: Datagrams received.
        received_bytes: Bytes received, with IP and UDP headers.
        sharers: Number of routers among which a fleet-wide limit is divided.
        known: Number of routers that it considers alive or suspect.
    """

    name: str
    up: bool
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    sharers: int
    known: int


class Sample(Message):
    """Counters of one process.

    Attributes:
        at: Monotonic time of the sample.
        processor_s: Processor time of the process in seconds.
        memory_bytes: Resident memory.
        grown_bytes: Growth of the resident memory since the routers started.
        lag_s: Largest delay of the event loop since the last sample, in seconds.
        routers: Counters of each router, or of the control machine.
        changes: Number of membership changes and log events by name.
    """

    at: float
    processor_s: float
    memory_bytes: int
    grown_bytes: int
    lag_s: float
    routers: list[RouterSample]
    changes: dict[str, int] = {}


class Collect(Message):
    """Requests when purges took effect so far; answered by Arrivals."""


class Arrivals(Message):
    """Progress of purges, in times of the monotonic clock.

    Attributes:
        in_force: When each purge took effect at each router, by purge number and router name.
        started: When each router last started, or None if it is down, by name.
        submitted: When each purge was submitted, by number.
        known: When the source knew that a purge was in force everywhere, by number.
        named: Routers that the source named as missing after the target time, by purge number.
        rules: (time, CopyRule name) of each rule of the purge log, by router.
    """

    in_force: dict[int, dict[str, float]] = {}
    started: dict[str, float | None] = {}
    submitted: dict[int, float] = {}
    known: dict[int, float] = {}
    named: dict[int, list[str]] = {}
    rules: dict[str, list[tuple[float, str]]] = {}


class Done(Message):
    """Answer to a command that was carried out."""


class Failed(Message):
    """Answer of a process that exits because of an error."""

    why: str


Command = (
    Setup
    | StartControl
    | StartRouters
    | Fill
    | Begin
    | SetCuts
    | Purge
    | Drain
    | SetDemand
    | Kill
    | Restart
    | Mark
    | Collect
)
Answer = Started | Sample | Arrivals | Done | Failed
read_command = msgspec.json.Decoder(Command).decode
read_answer = msgspec.json.Decoder(Answer).decode
write = msgspec.json.Encoder().encode
