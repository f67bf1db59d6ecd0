"""Cache servers' wire: lines of words, bodies by length. Parses and encodes bytes, no I/O."""

LONGEST_LINE, LONGEST_BODY = 4096, 240_000
RESULTS = {
    b"data": "satisfied",
    b"unchanged": "satisfied",
    b"absent": "miss",
    b"full": "full",
    b"failed": "errored",
    b"moot": "moot",
}
NOTES = {
    note: i + 1
    for i, note in enumerate(
        (
            b"hit",
            b"filled",
            b"via_origin",
            b"joined",
            b"stale",
            b"src_refused",
            b"src_broke",
            b"src_lacks",
            b"no_slot",
            b"origin_failed",
        )
    )
}


class Unreadable(Exception):
    """Bytes that can't be read as this protocol; the connection they came on is closed."""


def pull(
    name,
    kind,
    key,
    part,
    patience_s,
    source,
    rank,
    age_s,
    join,
    held_only,
    renew,
    tag,
    body,
    skip=False,
    mark=None,
):
    fields = [
        b"sort=" + kind,
        b"asset=" + key,
        b"slice=" + part,
        b"patience=%d" % max(1, int(patience_s * 1000)),
    ]
    if source:
        fields.append(b"parent=" + source.encode())
    if rank:
        fields.append(b"shelf=%d" % rank)
    if age_s > 0:
        fields.append(b"accept=%d" % max(1, int(age_s * 1000)))
    hints = [
        word
        for word, on in ((b"merge", join), (b"local", held_only), (b"skip", skip), (b"revalidate", renew))
        if on
    ]
    if hints:
        fields.append(b"hints=" + b"+".join(hints))
    if tag:
        fields.append(b"got=" + tag)
    if mark:
        fields.append(b"op=" + mark)
    return b"PULL %b %b %d\r\n%b\r\n" % (name, b",".join(fields), len(body), body)


def kill(name):
    return b"KILL %b\r\n" % name


def echo(tag):
    return b"ECHO %b\r\n" % tag


class Pieces:
    """Cuts a stream of bytes, in any pieces, into lines with the bodies that they announce. A kind of line says in
    `begin(line)` what it is and how many bytes follow, or None where none do."""

    def __init__(self):
        self.held, self.head, self.size = bytearray(), None, 0

    def feed(self, data):
        held, at, items = self.held, 0, []
        held += data
        while True:
            if self.head is None:
                end = held.find(b"\r\n", at, at + LONGEST_LINE)
                if end < 0:
                    if len(held) - at >= LONGEST_LINE:
                        raise Unreadable("a line that is too long")
                    break
                head, size = self.begin(bytes(held[at:end]))
                at = end + 2
                if size is None:
                    items.append(head)
                    continue
                self.head, self.size = head, size
            end = at + self.size
            if len(held) < end + 2:
                break
            if held[end : end + 2] != b"\r\n":
                raise Unreadable("a body that does not end with its length")
            items.append((*self.head, bytes(held[at:end])))
            self.head, at = None, end + 2
        del held[:at]
        return items


class Answers(Pieces):
    """Answers: (id, word, fields, body)."""

    @staticmethod
    def begin(line):
        return read_head(line)


def read_head(line):
    words = line.split(b" ")
    if len(words) != 4 or not words[3].isdigit() or len(words[3]) > 7 or int(words[3]) > LONGEST_BODY:
        raise Unreadable(f"the line {line[:80]!r}")
    name, word, fields, size = words
    return (name, word, read_fields(fields)), int(size)


def read_fields(text):
    if text in (b"-", b""):
        return {}
    return dict(pair.partition(b"=")[::2] for pair in text.split(b","))


def read_result(word, fields, columns):
    """(result, note, seconds waited for the source, load report or None, Unix time of the copy or None, its tag, its
    group or None) of an answer."""
    try:
        load = None
        if columns and b"l" in fields:
            told = dict(pair.partition(b":")[::2] for pair in fields[b"l"].split(b";"))
            load = [float(told.get(name, 0.0)) for name in columns]
        dated = float(fields[b"dated"]) / 1000.0 if b"dated" in fields else None
        return (
            RESULTS[word],
            NOTES.get(fields.get(b"n"), 0),
            float(fields.get(b"first", 0.0)) / 1000.0,
            load,
            dated,
            fields.get(b"digest"),
            fields.get(b"lot"),
        )
    except (KeyError, ValueError):
        raise Unreadable(f"the answer {word!r} {fields!r:.80}") from None
