"""A small layout for tests: two regions, three zones, four sites, three control machines."""

from brookhinge.emulator.capacity.layout import Layout
from brookhinge.operator import read_text

SMALL = """
capacity {
  routers  = 12
  caches   = 6
  purges_s = 5.1
  loss     = 0.01
  double   = 0.01
  region "north" {
    zone "a" {
      sites = 2
    }
    zone "b" {
      sites = 1
    }
  }
  region "south" {
    zone "a" {
      sites = 1
    }
  }
  link "north" "south" {
    delay_ms = 20
  }
  control "c1" {
    site = "north/a/1"
  }
  control "c2" {
    site = "north/b/1"
  }
  control "c3" {
    site = "south/a/1"
  }
  cut "region" {
    from  = "south"
    at_s  = 0
    for_s = 5
  }
}
"""


def small_layout(routers=12, **changes):
    """Return the Layout of SMALL with some settings changed."""
    return Layout(read_text(SMALL).capacity._replace(**changes), routers)
