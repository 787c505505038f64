"""Service discovery: the platform's endpoint list and purges, followed as a stream of watch events.

`events` has the events as typed values, `client.DiscoveryClient` keeps one watch open and resumes it at the
last applied revision after each break. What an event changes is decided by whoever the client calls.
"""
