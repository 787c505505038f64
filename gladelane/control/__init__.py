"""The control server: the fleet's shared services over HTTP, beside the path of requests.

`server` accepts and answers, and hands each request to the `ControlPart` (`part`) that has its route: purges,
the audit and leases are such parts, and none of them knows of another. `group_commit` stores what comes in
batches, `replication` says which peers have stored it, `event_stream` sends server-sent events. `http` is the
protocol, with the client's calls; `tokens` says who may call.
"""
