"""Warm starts and recovery phases: which state of a director survives a restart, and when the director is
back in full service.

`phases` and `warm_start` are pure and make the decisions. `state_store` writes learned state to the
director's folder, `key_log` writes idempotency keys there before they are used, and `service` connects both
to a running director. `purge_source` declares what recovery needs to know about the fleet's purges, so that
this package does not import `purges`. The package is imported only if the operator's file has a `recovery` or
a `purges` section. The budget for refetching purged copies is `purges.refetch_budget`.
"""
