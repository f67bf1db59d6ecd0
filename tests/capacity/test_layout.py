"""The capacity block: errors name block, key and line; sites, addresses and delays follow from the block."""

import subprocess
import sys
from pathlib import Path

import pytest

from brookhinge.emulator.capacity.driver import TooLargeError, check_size
from brookhinge.emulator.capacity.layout import Layout, read_layout
from brookhinge.operator import OperatorError, read_text
from tests.capacity.small import SMALL, small_layout

FILE = Path(__file__).parents[2] / "deploy" / "capacity.hcl"


def line_of(text, part):
    """Return the number of the first line that contains a text."""
    return next(number for number, line in enumerate(text.splitlines(), 1) if part in line)


def test_deployed_layout_has_the_design_size():
    layout = read_layout(FILE)
    capacity = layout.capacity
    regions = {zone.region for zone in capacity.zones}
    assert (layout.routers, len(layout.sites), len(regions), len(capacity.zones)) == (530, 33, 6, 13)
    assert (len(capacity.controls), capacity.caches, capacity.purges_s) == (5, 95, 5.1)
    assert sum(site.routers for site in layout.sites) == 530
    assert all(20 <= link.delay_ms <= 120 for link in capacity.links) and len(capacity.links) == 15


@pytest.mark.parametrize("routers", [66, 132, 265, 530, 1060])
def test_routers_are_distributed_evenly_over_sites(routers):
    sizes = [site.routers for site in read_layout(FILE, routers).sites]
    assert sum(sizes) == routers and max(sizes) - min(sizes) <= 1


@pytest.mark.parametrize(
    "old, new, why",
    [
        ("routers  = 12", "routers = 0", "capacity: routers: expected a whole number from 1 to 5000, got 0"),
        ("loss     = 0.01", "lose = 0.01", "capacity: lose: no such key, expected one of caches"),
        ("loss     = 0.01", "loss = 1.5", "capacity: loss: expected a number from 0 to 0.9, got 1.5"),
        ("sites = 2", "sites = 251", 'zone "a": sites: expected a whole number from 1 to 250'),
        ("sites = 2", "", 'zone "a": sites: missing'),
        ('zone "b"', 'zone "a"', 'zone "a" appears twice'),
        ('zone "b"', 'zone "b/c"', "expected names without '/'"),
        ('link "north" "south"', 'link "north" "west"', "unknown region 'west'"),
        (
            'link "north" "south"',
            'link "north" "north"',
            "expected exactly one link for each pair of regions",
        ),
        ('link "north" "south"', 'link "north"', "link: expected 2 labels, got 1"),
        ("delay_ms = 20", "delay_ms = -1", 'link "north" "south": delay_ms: expected a number'),
        ('site = "north/a/1"', 'site = "north/a/3"', 'control "c1": site: expected region/zone/number'),
        (
            'from  = "south"',
            'from = "east"',
            "cut \"region\": from: expected a place of the layout, got 'east'",
        ),
        ("for_s = 5", "", 'cut "region": for_s: missing'),
    ],
)
def test_error_names_block_key_and_line(old, new, why):
    text = SMALL.replace(old, new, 1)
    with pytest.raises(OperatorError) as raised:
        read_text(text)
    assert why in str(raised.value)
    assert str(raised.value).startswith("line ")


def test_error_names_the_line_of_the_key():
    text = SMALL.replace("for_s = 5", "for_s = -5")
    with pytest.raises(OperatorError, match=f"^line {line_of(text, 'for_s')}: "):
        read_text(text)


def test_missing_link_between_regions_is_rejected():
    head, tail = SMALL.split('  link "north" "south" {\n    delay_ms = 20\n  }\n')
    with pytest.raises(OperatorError, match='line 2: capacity: link "north" "south": missing'):
        read_text(head + tail)


def test_address_identifies_the_site():
    layout = small_layout()
    for site in layout.sites:
        assert layout.site_of(site.host_of(site.routers - 1)) == site.index
    assert [layout.site_of(layout.control_host(k)) for k in range(3)] == [0, 2, 3]


def test_delay_depends_on_common_site_zone_and_region():
    layout = small_layout()
    assert [layout.delay_s(0, target) for target in range(4)] == [0.0003, 0.002, 0.005, 0.02]
    assert layout.delay_s(3, 0) == layout.delay_s(0, 3)


def test_layout_too_large_for_a_run_is_rejected():
    with pytest.raises(TooLargeError, match="MB at most"):
        check_size(Layout(read_layout(FILE).capacity, 4000))


def run_benchmark(*args):
    """Run the benchmark and return its exit status and standard error."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity", *args],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=FILE.parents[1],
    )
    return done.returncode, done.stderr


def test_benchmark_prints_one_line_and_exits_with_2_on_an_invalid_file(tmp_path):
    bad = tmp_path / "bad.hcl"
    bad.write_text(SMALL.replace("for_s = 5", ""))
    status, stderr = run_benchmark("--file", str(bad), "--routers", "12")
    assert status == 2 and stderr.count("\n") == 1 and "for_s: missing" in stderr
    status, stderr = run_benchmark("--file", str(FILE.parent / "operator.hcl"))
    assert status == 2 and "capacity: missing" in stderr
