"""What the driver asks of its processes and what they answer: one JSON object a line, over their standard streams."""

import msgspec

from brookhinge.membership.claims import Claim
from brookhinge.operator.capacity import Capacity


class Message(msgspec.Struct, tag=True, array_like=True):
    """The base of all messages; its tag is the name of the class."""


class Setup(Message):
    """The first command: what the process is."""

    capacity: Capacity
    routers: int
    seed: int
    mechanism: str  # `peers` or `log`
    site: int = -1  # of a site's process
    control: int = -1  # of a control machine's
    controls: list[tuple[str, int]] = []  # addresses of all control machines, with the log


class StartControl(Message):
    """Starts the control machine. -> Done"""


class StartRouters(Message):
    """Starts all routers of the site. join: addresses to join by; hold: they say nothing until `Begin`. -> Started"""

    join: list[tuple[str, int]]
    hold: bool


class Started(Message):
    """Claims of the routers, as membership sends them, and their addresses."""

    claims: list[Claim]
    addresses: list[tuple[str, int]]


class Fill(Message):
    """Fills the views with all routers of the fleet, as if they had long known each other. -> Done"""

    claims: list[Claim]


class Begin(Message):
    """Routers that were held back start to speak; no answer."""


class SetCuts(Message):
    """Cuts that are in force from now on; no answer."""

    cuts: list[tuple[str, str, str, float, float, bool]]


class Purge(Message):
    """One router of the site learns of a purge from its command channel, or a control machine from its source; no answer."""

    number: int
    router: int


class Drain(Message):
    """One router of the site learns that a cache server drains; no answer."""

    number: int
    server: str
    router: int


class SetDemand(Message):
    """What queries ask of the cache servers: part of their room in use on the mean, 0: none is limited; no answer."""

    room: float


class Kill(Message):
    """Routers of the site end without a word; no answer."""

    routers: list[int]


class Restart(Message):
    """Routers of the site start anew, after a word of leaving if `graceful`; no answer."""

    routers: list[int]
    join: list[tuple[str, int]]
    graceful: bool


class Mark(Message):
    """Asks for the counters up to now. -> Sample"""


class RouterSample(Message):
    """Counters of one router since its site's process started."""

    name: str
    up: bool
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    sharers: int  # by how many a limit of the whole fleet is divided
    known: int  # routers that it believes alive or suspects


class Sample(Message):
    """Counters of one process."""

    at: float
    processor_s: float
    memory_bytes: int
    grown_bytes: int  # since its routers started
    lag_s: float  # by how much the event loop was late at most since the last sample
    routers: list[RouterSample]
    changes: dict[str, int] = {}


class Collect(Message):
    """Asks for what became of the purges so far. -> Arrivals"""


class Arrivals(Message):
    """Moments of the monotonic clock. in_force: purge -> {router: when}; started: router -> when it last started, None if it
    is not up; submitted and known: purge -> when; named: purge -> those whom the source named as missing
    when the purge's time was over; rules: router -> (when, CopyRule) of the purge log."""

    in_force: dict[int, dict[str, float]] = {}
    started: dict[str, float | None] = {}
    submitted: dict[int, float] = {}
    known: dict[int, float] = {}
    named: dict[int, list[str]] = {}
    rules: dict[str, list[tuple[float, str]]] = {}


class Done(Message):
    """The command was carried out."""


class Failed(Message):
    """The process can't go on."""

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
