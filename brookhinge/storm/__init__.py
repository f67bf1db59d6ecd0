"""Retry and reconnect storms: a client's tries known as one, and returns given places in a plan. Decisions without I/O,
clock or chance of their own; times are float seconds, moments those that come with each call."""
