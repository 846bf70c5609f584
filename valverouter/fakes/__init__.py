"""Stand-in setup servers, list service and callers on streams, round valverouter.servermodel."""
