"""Leases, which ensure that at most one director at a time does a piece of work for the whole fleet.

A lease is granted by a majority of lease servers for a limited time, with a fencing token that only grows.

- `LeaseClient` (`client`) acquires and renews a director's leases; its decisions are in `lease`.
- `LeaseServer` (`server`) grants leases as a part of a control server; its decisions are in `acceptor`, and
  `token_store` keeps the tokens on disk.
- `FencingGuard` (`fencing`) rejects operations of earlier holders where they are executed.
- `ShardedOrders` (`shards`) divides the purge orders into leased shards.

`lease`, `acceptor`, `quorum`, `messages`, `fencing` and `shards` are pure: the time is an argument.
"""
