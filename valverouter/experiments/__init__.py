"""Experiments on the emulator: factors, levels and seeds; variants of the policy; paired comparisons."""
