"""A supervisor's state in an embedded store (lmdb).

One value with a checksum; a save is one transaction, and on disk when it returns. A store that can't be read whole
is set aside: the supervisor then knows no step, and the control plane tells it which ones have ended.
"""

from __future__ import annotations

