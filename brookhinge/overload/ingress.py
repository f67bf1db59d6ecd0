"""Networks, overload detector and admission as the listener and the service meet them. No I/O, no clock."""

from typing import NamedTuple

from brookhinge.overload.connection_admission import ConnectionAdmission
from brookhinge.overload.networks import Networks
from brookhinge.overload.overload_detector import OverloadDetector, OverloadState


class Arrival(NamedTuple):
    """A new connection: the network it comes from, and whether it is kept."""

    network: str
    is_admitted: bool


class StateChange(NamedTuple):
    """A change of the overload state, with the names that the log line `storm` has. Rates are a second."""

    state: OverloadState
    was: OverloadState
    connects_s: float
    queries_s: float
    returns: float  # share of retries among the requests
    networks: float
    turned_away: int  # connections rejected since the start


class Ingress:
    """What watches the connections of one router."""

    def __init__(self, max_connections: int) -> None:
        """`max_connections`: descriptors for clients."""
        self.networks = Networks()
        self.detector = OverloadDetector()
        self.admission = ConnectionAdmission(max_connections)
        self.lag_s = 0.0
        self.state = OverloadState.CALM
        self._requests = 0
        self._retries = 0

    def max_accepts(self) -> int:
        """How many connections to accept in one pass of the loop."""
        return self.admission.max_accepts(self.lag_s)

    def admit(self, now: float, address: str) -> Arrival:
        """Take note of a new connection and decide whether it is kept."""
        network = self.networks.network_of(address)
        self.detector.record_connection(now, network)
        return Arrival(network, self.admission.admit(network))

    def release(self, network: str) -> None:
        """Note that a connection from a network has ended."""
        self.admission.release(network)

    def update(self, now: float, lag_s: float, requests: int, retries: int) -> StateChange | None:
        """Update the state, several times a second.

        Args:
            now: The time.
            lag_s: By how much the loop lags.
            requests: Since the start.
            retries: Those among them.

        Returns:
            The change of the state, or None.
        """
        self.lag_s = lag_s
        self.detector.record_requests(now, requests - self._requests, retries - self._retries)
        self._requests = requests
        self._retries = retries
        state = self.detector.update(now)
        if state == self.state:
            return None
        was = self.state
        self.state = state
        request_rate = self.detector.requests.per_second(now)
        retry_rate = self.detector.retries.per_second(now)
        return StateChange(
            state=state,
            was=was,
            connects_s=round(self.detector.connections.per_second(now), 1),
            queries_s=round(request_rate, 1),
            returns=round(retry_rate / request_rate, 3) if request_rate else 0.0,
            networks=round(self.detector.effective_networks(now), 1),
            turned_away=self.admission.rejected,
        )
