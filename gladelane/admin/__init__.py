"""Administration of one director: the admin endpoint that operators call, its metrics, caches taken out of
service by hand, draining the director, and settings that change under load. `endpoint` alone has sockets; all
else is pure or runs in the serving loop.
"""
