"""Open-loop load tests of edge proxies over loopback: the sustained rate of one, or a comparison of two."""
