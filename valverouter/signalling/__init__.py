"""Protocols between peers: codecs and session state without I/O (no sockets, no clock)."""
