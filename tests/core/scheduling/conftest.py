"""Makes the harness importable by the tests in this folder."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
