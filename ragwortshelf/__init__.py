"""A scheduler for multi-accelerator jobs under organisations' guarantees.

The package holds every process that stands between callers and back ends. The
subpackage ``core`` decides and does no input or output; ``net`` carries its
decisions over sockets; ``daemon`` is the process of an entry instance; ``cli`` is
the command-line tool; ``standins`` are small substitutes for the platform.
"""

__all__ = ["__version__"]

__version__ = "0.1.0.dev0"
