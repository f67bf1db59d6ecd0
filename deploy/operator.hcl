# What an installation of its own turns on beside the platform's router. Each block stands for one subsystem; one that
# is left out is off. `brookhinge check deploy/operator.hcl` reads this file as the programs do.

# Logs of all programs but the platform's router: debug, info, warning or error and worse.
log {
  level = "info"
}

# Figures for Prometheus, served by the process that reads this file.
# metrics {
#   listen = "127.0.0.1:9100"
# }

# A router among its peers: `BROOKHINGE_FLEET=deploy/operator.hcl` beside BALANCER_CONFIG; the block of its own name
# counts. See docs/operators/membership.md. The platform bars talk among routers: there it stays off.
# fleet "n1" {
#   listen  = "127.0.0.1:7301"                       # UDP
#   join    = ["127.0.0.1:7301", "127.0.0.1:7302"]   # any of them will do; nobody there yet is no error
#   site    = "tender-portal"                        # peers of another site are not listened to
#   key     = "00112233445566778899aabbccddeeff"     # the same in the whole fleet: 32 to 128 hex digits
#   zone    = "edge-1"
#   lease_s = 10                                     # so long a lost router still counts in limits
#   metrics = "127.0.0.1:9101"                       # figures of the fleet for Prometheus
#   share_limits   = true                            # docs/operators/limits.md
#   share_verdicts = true
#   region         = "west"
#   purge_log      = true                            # docs/operators/purgelog.md
#   purge_notices  = false                           # once all routers read the log
#   share_memory   = true                            # who starts is told what a peer knows
# }

# Control machines of the purge log, three or more, each `brookhinge control serve --file deploy/operator.hcl --name c1`.
# See docs/operators/purgelog.md.
# control "c1" {
#   listen  = "127.0.0.1:7501"                       # UDP
#   site    = "tender-portal"                        # site and key as in the blocks fleet
#   key     = "00112233445566778899aabbccddeeff"
#   region  = "west"                                 # routers of this region read here first
#   serves  = ["north"]                              # and those of these
#   channel = "127.0.0.1:8500"                       # the command channel whose purges it appends
#   proof_s = 3                                      # how long routers use their own copies on one proof
#   metrics = "127.0.0.1:9102"
# }

# A cache server: `brookhinge cache-server --file deploy/operator.hcl --name s-1`. See docs/operators/store.md.
box "s-1" {
  listen    = "127.0.0.1:9001"
  channel   = "127.0.0.1:8500"   # the command channel: list of servers and purges
  fills     = 32                 # fills under way at once; past that a query is answered `full`
  fill_s    = 2.0                # a fill is given up if nothing has come after so long
  idle_s    = 30.0               # an idle connection is closed after so long
  connect_s = 0.4
  drain_s   = 5.0                # after SIGTERM what is open has so long
  purge_s   = 6.0                # a copy is out of use so long after its purge, also while the channel tells nothing

  parent_kind = "parent"         # `class` of parents and of the origin in the command channel's list
  origin_kind = "origin"
  reports     = ["util", "x0"]   # fields of the load report in each answer: util, inflight, queue, x0, x1

  # A track whose copies age: fresh for so long, and how much older a copy may be when asked for. Copies of tracks that
  # do not stand here are good until they are purged.
  track "notice-pages" {
    fresh_s = 5
    stale_s = 20
  }

  store {
    dir        = "/var/lib/brookhinge/s-1"   # "" keeps memory alone; one box a folder
    memory_mb  = 64
    disk_mb    = 1024              # at least eight segments
    segment_mb = 16
    sync_s     = 0.5               # what was written within the last sync_s may be lost with the power: a miss
    snapshot_s = 30.0              # pictures of the index: a start reads the last one and what came after it
    stall_s    = 0.25              # a read that takes longer is a miss, and the disk is left alone for a while
  }
}
