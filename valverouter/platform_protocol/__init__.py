"""Codecs of the operators' platform, without I/O: callers' messages, servers' lines, the event bus."""
