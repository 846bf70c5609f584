"""The former name of `valverouter.platform_edge`, kept as an entry point."""
