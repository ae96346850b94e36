"""The command-line tool for operators and callers.

``main`` parses the command line, ``client`` calls an instance, ``output`` prints, and
each module under ``commands`` holds the commands of one subject.
"""
