"""Looks through all files of an open tier for places that are not what was written."""

from brookhinge.store import index_snapshot
from brookhinge.store.disk_tier import numbered, picture_name, segment_name
from brookhinge.store.files import read_whole
from brookhinge.store.records import FILE_HEAD, Damaged, OtherVersion


def check_folder(tier, said, went):
    """(records that are whole, rows of file, place and why). said: what the tier logged as it opened; went(bytes): how far
    it is. What was appended last and never synced may be torn without a fault of anybody's: it is named as well."""
    rows = [{"file": name, "place": 0, "why": why} for name, why in tier.head_faults]
    rows += [
        {"file": "purges.log", "place": "", "why": f"{values['bytes']} bytes cannot be read"}
        for event, values in said
        if event == "ledger damaged"
    ]
    found = 0
    for number, segment in sorted(tier.segments.items()):
        places, ends = [], [FILE_HEAD.size]

        def take(place, head, _):
            if place != ends[-1]:
                places.append(ends[-1])
            ends.append(place + head.length)

        whole, _ = tier.scan(segment, FILE_HEAD.size, take)
        if ends[-1] < segment.size:
            places.append(ends[-1])
        found += whole
        rows += [{"file": segment_name(number), "place": place, "why": "no whole record"} for place in places]
        went(segment.size)
    for number in numbered(tier.files.names(), "index-", ".snap"):
        try:
            index_snapshot.decode(read_whole(tier.files, picture_name(number)), tier.store)
        except (Damaged, OtherVersion) as fault:
            rows.append({"file": picture_name(number), "place": "", "why": str(fault)})
    return found, rows
