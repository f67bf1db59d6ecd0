# The fleet that `python -m benchmarks.capacity` models: the size designed for, 530 routers at 33 sites in 13 zones of 6
# regions, and five control machines. `brookhinge check deploy/capacity.hcl` reads it as the benchmark does; put your own
# fleet here to see what its control traffic costs. See docs/operators/capacity.md.

capacity {
  routers   = 530    # spread evenly over the sites; --routers N takes another number over the same sites
  caches    = 95     # cache servers before which they stand
  purges_s  = 5.1    # purges a second on an ordinary day
  site_ms   = 0.3    # delay one way within a site,
  zone_ms   = 2      # between sites of a zone,
  region_ms = 5      # and between zones of a region; between regions see `link`
  loss      = 0.01   # chance of a datagram to be lost, on every link,
  double    = 0.001  # and to come twice

  region "eu-west" {
    zone "a" {
      sites = 3
    }
    zone "b" {
      sites = 3
    }
    zone "c" {
      sites = 3
    }
  }
  region "us-east" {
    zone "a" {
      sites = 3
    }
    zone "b" {
      sites = 3
    }
    zone "c" {
      sites = 2
    }
  }
  region "us-west" {
    zone "a" {
      sites = 3
    }
    zone "b" {
      sites = 3
    }
  }
  region "ap-north" {
    zone "a" {
      sites = 2
    }
    zone "b" {
      sites = 2
    }
  }
  region "ap-south" {
    zone "a" {
      sites = 2
    }
    zone "b" {
      sites = 2
    }
  }
  region "sa-east" {
    zone "a" {
      sites = 2
    }
  }

  # Delay one way between two regions, each pair once.
  link "eu-west" "us-east" {
    delay_ms = 40
  }
  link "eu-west" "us-west" {
    delay_ms = 70
  }
  link "eu-west" "ap-north" {
    delay_ms = 110
  }
  link "eu-west" "ap-south" {
    delay_ms = 60
  }
  link "eu-west" "sa-east" {
    delay_ms = 95
  }
  link "us-east" "us-west" {
    delay_ms = 32
  }
  link "us-east" "ap-north" {
    delay_ms = 80
  }
  link "us-east" "ap-south" {
    delay_ms = 95
  }
  link "us-east" "sa-east" {
    delay_ms = 58
  }
  link "us-west" "ap-north" {
    delay_ms = 52
  }
  link "us-west" "ap-south" {
    delay_ms = 110
  }
  link "us-west" "sa-east" {
    delay_ms = 85
  }
  link "ap-north" "ap-south" {
    delay_ms = 20
  }
  link "ap-north" "sa-east" {
    delay_ms = 120
  }
  link "ap-south" "sa-east" {
    delay_ms = 120
  }

  # Machines set aside for control: no two in one zone, so that a zone takes one at most. `serves` names further regions
  # whose routers read there first: the nearest ones without a machine of their own.
  control "c1" {
    site = "eu-west/a/1"
  }
  control "c2" {
    site = "eu-west/b/1"
  }
  control "c3" {
    site   = "us-east/a/1"
    serves = ["sa-east"]
  }
  control "c4" {
    site = "us-west/a/1"
  }
  control "c5" {
    site   = "ap-north/a/1"
    serves = ["ap-south"]
  }

  # Links that fail while the benchmark measures them: `from` and `to` are region, region/zone or region/zone/number;
  # without `to` it is all else. Seconds from the start of the measured part.
  cut "region" {
    from  = "sa-east"
    at_s  = 0
    for_s = 60
    both  = true
  }
}
