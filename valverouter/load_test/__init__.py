"""Open-loop load on real edge proxies over loopback: what they hold, and which of two holds more."""
