"""Experiments on the emulator: factors, levels and seeds; variants of the decisions; what differs."""
