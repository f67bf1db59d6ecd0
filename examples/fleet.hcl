# Six routers on loopback: one killed, halves cut apart and healed. Play it: brookhinge emulator fleet examples/fleet.hcl
rig {
  routers = 6
  boxes   = 1
  seed    = 7
}
step {
  until = "one view"
}
step {
  kill = ["n3"]
}
step {
  until = "one view"
}
step {
  cut = ["n1", "n2"]
}
step {
  after_s = 6
  drain   = "s-1"
  told    = "n1"
}
step {
  heal = true
}
step {
  until    = "one view"
  within_s = 60
}
