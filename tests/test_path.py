from helpers import Bench


def test_home_then_holder():
    """The home fills from the parent hashed from the object, and is asked again as its holder."""
    b = Bench()
    assert b.serve("a") + b.serve("b") + b.serve("a", note=1) == [
        "q1 push 21 from 12 rank 1",
        "q2 push 22 from 11 rank 1",
        "q3 push 21 from 12 rank 2",
    ]
