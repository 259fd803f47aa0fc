"""Tests that the Python example of the README runs unchanged."""

import contextlib
import io
import re
from pathlib import Path


def test_readme_example() -> None:
    """Guards against a README example that fails or prints something else after a change of the interface."""
    text = (Path(__file__).parent.parent / "README.md").read_text()
    [code] = re.findall(r"```python\n(.*?)```", text, re.S)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(code, {})
    assert printed.getvalue() == "[1, 2]\n"
