"""Codecs of the operators' platform, without I/O: callers' binary messages, servers' lines, the event bus."""
