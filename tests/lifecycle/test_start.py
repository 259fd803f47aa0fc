"""Tests the start of a process beside another one, with real processes."""

import signal
import threading

from exchange import ExchangePlayer

NOT_RUNNING_S = 2.0
"""Seconds for which the earlier process does not run; longer than a new process waits for its answer."""


def test_process_that_starts_beside_one_that_does_not_run_takes_over_once_that_runs_again() -> None:
    """Guards against a start that is refused because the address is in use and its process does not answer yet."""
    player = ExchangePlayer()
    try:
        player.program.send_signal(signal.SIGSTOP)
        waking = threading.Timer(NOT_RUNNING_S, player.program.send_signal, [signal.SIGCONT])
        waking.start()
        player._start_later_process()
        waking.join()
        player.wait_for_log('"event":"taken_over"')
    finally:
        player.close()
