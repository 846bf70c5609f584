"""The routing policy of one edge proxy: pure decision code, without I/O or a clock of its own.

Start reading at `routing.py`; docs/design.md gives the reasons for the decisions.
"""
