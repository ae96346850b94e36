"""The command-line tool of operators and callers.

``main`` reads the command line, ``client`` calls an instance, ``output`` prints, and
the modules under ``commands`` hold the commands of one subject each.
"""
