"""Makes the soak importable, which lies outside the installed package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2]))
