"""Makes the adapter's package importable; it stands outside the product's."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))
