"""Preload libraries (LD_PRELOAD) that inject faults below a real director process.

Each `.c` file of this package is one library. It replaces functions of the C library, so that faults also
reach code that calls them from C, such as libuv. `build.compile_library` makes them with the C compiler.
"""
