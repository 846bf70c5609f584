"""The routing policy of one edge proxy; pure. Read `routing.py` first; the reasons are in docs/design.md."""
