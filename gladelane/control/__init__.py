"""The control server: the fleet's shared services over HTTP, beside the path of requests.

`http` is the protocol, with the client's calls; `tokens` says who may call.
"""
