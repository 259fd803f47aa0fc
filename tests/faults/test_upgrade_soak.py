"""Replaces the process of a dispatcher again and again under load, as a few seeds draw it."""

import pytest

from heronlug.faults.upgrades.run import play
from heronlug.faults.upgrades.soak import draw


@pytest.mark.parametrize("seed", [13, 19, 35, 47, 57, 58])
def test_series_of_upgrades_with_a_crowd_loses_no_request(seed: int) -> None:
    """Guards against requests lost, and descriptors exceeded, by crowds, few descriptors and successors that fail."""
    report = play(draw(seed))
    assert not report.violations, report.text()
