"""Protocols between peers: codecs and session state, without sockets and clocks."""
