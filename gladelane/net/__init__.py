"""The director on sockets: clients on one side, and caches, parents and the origin on the other.

`director.Director` turns input into events for the router, and the router's decisions into attempts.
`client_listener.ClientListener` holds the connections of clients, `connection_pool.ConnectionPool` those to
servers. The two protocols are in `client_protocol` and `cache_protocol`, both without I/O.
"""
