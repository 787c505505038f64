"""Reads and checks the operator's file, a JSON5 file. `operator.py` defines its keys.

A director without such a file does not import this package.
"""
