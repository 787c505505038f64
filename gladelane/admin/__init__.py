"""Administration of one director: the admin endpoint that operators call, metrics, servers that operators
take out of service, draining the director, and settings that change while it serves requests.

Only `endpoint` opens sockets. All other modules are pure or run in the serving event loop.
"""
