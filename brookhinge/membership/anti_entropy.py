"""Anti-entropy (Demers et al., PODC 1987): members whose views differ exchange claims.

They compare digests of their views, and exchange claims only while no gossip is pending, since pending gossip
may remove the difference by itself.
"""

from brookhinge.membership import timing
from brookhinge.membership.byte_budget import (
    COMPRESSED_CLAIM_BYTES,
    EMPTY_DATAGRAM_BYTES,
    FULL_DATAGRAM_BYTES,
    PLAIN_CLAIM_BYTES,
    ByteBudget,
)
from brookhinge.membership.claims import Claim
from brookhinge.membership.dissemination import MAX_NOTICES, MAX_PLAIN_CLAIMS, Dissemination
from brookhinge.membership.join_progress import JoinProgress
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Announcement, SyncRequest, SyncResponse
from brookhinge.membership.view import BUCKETS, SHIFTS
from brookhinge.membership.writer import PeerWriter

UNSETTLED_DIGEST = 0  # sent by a joining member; it is not compared with any view
MAX_SYNC_CLAIMS = 48  # in one response
ANSWER_BYTES_PER_S = 1500.0
ANSWER_BURST_BYTES = 16_000.0
DIGEST_BYTES = 2  # per bucket in a sync request


class AntiEntropy:
    """Compares views, requests the claims that differ, and answers the requests of others."""

    def __init__(
        self, local: LocalMember, dissemination: Dissemination, progress: JoinProgress, now: float
    ) -> None:
        self.local = local
        self.dissemination = dissemination
        self.progress = progress
        self.answer_budget = ByteBudget(ANSWER_BYTES_PER_S, ANSWER_BURST_BYTES, now)
        self.next_exchange_at = now + timing.INTRODUCTION_WAIT_S

    def digest(self) -> int:
        """Return the digest to send: that of the view, or UNSETTLED_DIGEST while joining."""
        return UNSETTLED_DIGEST if self.progress.is_joining() else self.local.view.digest()

    def compare(self, now: float, i: int, digest: int, writer: PeerWriter) -> None:
        """Compare digests with the member at position `i`; send it a sync request if they differ.

        Requests are sent at most once per exchange interval, and not while updates may be sent.
        """
        if digest == self.local.view.digest():
            self.progress.finish(now)
        elif (
            digest != UNSETTLED_DIGEST
            and not self.progress.is_joining()
            and not self.dissemination.may_send_updates(now)
            and now >= self.next_exchange_at
        ):
            self.next_exchange_at = now + self._exchange_interval()
            self.request_sync(i, writer)

    def _exchange_interval(self) -> float:
        if len(self.local.view.names) <= 2:
            return timing.PROBE_INTERVAL_S
        return timing.EXCHANGE_INTERVAL_S * (0.75 + 0.5 * self.local.rng.random())

    def request_sync(self, i: int, writer: PeerWriter) -> None:
        """Ask the member at position `i` for the claims of all buckets that differ."""
        shift = self.local.rng.randrange(SHIFTS)
        request = SyncRequest(shift, self.local.view.short_digests(shift))
        self.dissemination.send(i, request, writer)

    def on_sync_request(self, now: float, i: int, request: SyncRequest, writer: PeerWriter) -> None:
        """Answer with the claims of the buckets that differ, as many as fit into a datagram."""
        view = self.local.view
        own_digests = view.short_digests(request.shift)
        differing = [
            bucket
            for bucket in range(BUCKETS)
            if _bucket_digest(request.digests, bucket) != _bucket_digest(own_digests, bucket)
        ]
        if not self.answer_budget.allows(now):
            return
        # Claims are sent bucket by bucket, so that whole buckets agree afterwards.
        self.local.rng.shuffle(differing)
        order = {bucket: rank for rank, bucket in enumerate(differing)}
        positions = [k for k in range(len(view.names)) if view.bucket(k) in order]
        positions.sort(key=lambda k: order[view.bucket(k)])
        positions = positions[:MAX_SYNC_CLAIMS]
        size = EMPTY_DATAGRAM_BYTES + COMPRESSED_CLAIM_BYTES * len(positions)
        self.answer_budget.spend(min(FULL_DATAGRAM_BYTES, size))
        claims = [view.claim(k, now) for k in positions]
        writer.send(view.addresses[i], SyncResponse(), claims, [])

    def missing_updates(self, now: float, digest: int, is_foreign: bool) -> list[Claim]:
        """Return recent claims for a member whose view differs, as it may have missed one of them."""
        if is_foreign or digest in (UNSETTLED_DIGEST, self.local.view.digest()):
            return []
        if not self.answer_budget.allows(now):
            return []
        queue = self.dissemination.queue
        queue.expire(now, self.local.view.index)
        names = queue.sample_recent(MAX_PLAIN_CLAIMS, self.local.rng)
        self.answer_budget.spend(PLAIN_CLAIM_BYTES * len(names))
        return self.local.claims_of(names, now)

    def on_arrival(self, now: float, i: int, writer: PeerWriter) -> None:
        """Send the recent notices to a member that has joined or is back.

        A member of another protocol version gets the whole view instead.
        """
        if self.local.is_foreign(i):
            if now >= self.next_exchange_at:
                self.next_exchange_at = now + timing.EXCHANGE_INTERVAL_S
                self._send_whole_view(now, i, writer)
            return
        notices = self.dissemination.notices.recent()
        for start in range(0, len(notices), MAX_NOTICES):
            part = notices[start : start + MAX_NOTICES]
            writer.send(self.local.view.addresses[i], Announcement(), [], part)

    def _send_whole_view(self, now: float, i: int, writer: PeerWriter) -> None:
        """Send all claims to a member of another version, with which no digests are compared."""
        view = self.local.view
        for start in range(0, len(view.names), MAX_PLAIN_CLAIMS):
            end = min(start + MAX_PLAIN_CLAIMS, len(view.names))
            claims = [view.claim(k, now) for k in range(start, end)]
            writer.send(view.addresses[i], Announcement(), claims, [])


def _bucket_digest(digests: bytes, bucket: int) -> bytes:
    return digests[DIGEST_BYTES * bucket : DIGEST_BYTES * (bucket + 1)]
