"""The operator's file: JSON5 text in, checked values out. Read `operator.py` for every key.

Nothing of this package is imported by a director that has no such file.
"""
