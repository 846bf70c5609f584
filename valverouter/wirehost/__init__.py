"""The former name of `valverouter.simulator_adapter`, kept as an entry point."""
