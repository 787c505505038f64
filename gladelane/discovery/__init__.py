"""Service discovery: the platform's endpoint list and purges, followed as a stream of watch events.

`events` defines the events as typed values. `client.DiscoveryClient` keeps one watch open and, after each
break, resumes it at the last applied revision. It passes each event to a callback, which applies it.
"""
