"""The decisions of a router that is told warm-start state: see warm_start.py."""

from brookhinge.decision_records import Doc
from brookhinge.decisions.messages import WarmStartReceived
from brookhinge.membership.warm_start import MAX_ROWS as MOST


class Remembering:
    """Goes before Router: beside its messages it takes `WarmStartReceived`, and `memory()` tells what a peer may want."""

    def memory(self):
        rows = [
            ("ring", self.fleet.ids[points[0]], len(points), "", ends[0], ends[1])
            for points, ends, _ in self.rings.rings
            if len(points) in (2, 3)
        ]
        rows += [
            ("takes", track.name, 0, "", mean, count)
            for track, mean, count in zip(self.request_classes, self.sending, self.known)
        ]
        hot = sorted(
            (doc for doc in self.docs.values() if self.holders(doc) and len(doc.key) <= 64),
            key=lambda doc: -doc.count,
        )
        return rows + [
            ("holder", doc.key, doc.part, self.fleet.ids[c], doc.group, doc.count)
            for doc in hot[:MOST]
            for c in doc.holders
        ]

    def handle(self, message):
        if isinstance(message, WarmStartReceived):
            self.remember(message.rows)
        else:
            super().handle(message)

    def remember(self, rows):
        """What it has learnt itself by now goes before what it is told."""
        for kind, name, number, other, one, two in rows:
            if kind == "ring":
                for points, ends, _ in self.rings.rings:
                    if (
                        self.fleet.ids[points[0]] == name
                        and len(points) == number
                        and 0 < one <= two <= ends[-1]
                    ):
                        ends[:-1] = [one, two][: number - 1]
            elif kind == "takes":
                for t, track in enumerate(self.request_classes):
                    if track.name == name and two > self.known[t] and one > 0.0:
                        self.sending[t], self.known[t] = one, two
            elif kind == "holder":
                c = self.fleet.index.get(other)
                if c in self.fleet.own and len(self.docs) < self.most and not self.purged_lately(name, one):
                    doc = self.docs.get((name, number)) or self.docs.setdefault(
                        (name, number), Doc(name, number, one)
                    )
                    doc.holders.setdefault(c, self.now)
                    doc.count = max(doc.count, two / 2.0)

    def purged_lately(self, key, group):
        return key in self.groups or group in self.groups
