"""Fleet-wide purges: what a purge covers, in which order purges hold, and the newest moment that binds a
request.

`scope` reads and writes what is covered, `bounds` joins moments, `index` looks them up, `order` keeps each
issuer's sequence. None of these does I/O or reads a clock.
"""
