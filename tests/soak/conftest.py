"""Makes the soak importable; it stands outside the product's package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2]))
