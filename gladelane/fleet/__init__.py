"""Many directors: on which versions each of them acted, who is behind and what becomes of it, and how long a
director may act without hearing again.

`view`, `trail`, `ledger`, `straggle` and `tenure` decide and are pure; `wire` and `replies` are what travels,
`trail_store` keeps a director's trail, `service` is the director's part, `collector` the control server's,
which hands reports on by `report_replication`. Imported only where an operator's file or a server's option
asks for it.
"""
