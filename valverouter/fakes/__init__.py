"""Fake servers, endpoint-list service and callers on streams, and faulty datagram paths, for test runs."""
