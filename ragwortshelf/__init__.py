"""A scheduler for multi-accelerator jobs under organisations' guarantees.

The package holds every process between callers and back ends. The subpackage
``core`` makes all decisions and does no input or output; ``net`` is the transport
over sockets; ``daemon`` is the process of an entry instance; ``cli`` is the
command-line tool; ``standins`` holds small substitutes for the platform.
"""

__all__ = ["__version__"]

__version__ = "0.1.0.dev0"
