"""Warm starts and readiness: what a director keeps of its learnt state across a restart, and when it is back
in full service.

`phases` and `warm_start` decide and are pure. `state_store` writes learnt state to the folder, `key_log`
writes idempotency keys there before they are used, and `service` connects them to a running director.
`purge_source` names what is asked of the fleet's purges, so that this package imports nothing of `purges`. It
is imported only where an operator's file has a `recovery` section. The budget for refetching purged copies is
`purges.refetch_budget`.
"""
