"""Writes the files in ``data``: run ``python -m compatibility.record`` in ``tests`` with the code of commit 1ac93b2.

The tests never run this module. A form that changes on purpose gets its own file, and the file of the old form stays.
"""

import asyncio
import tempfile
from pathlib import Path

import orjson
from drive import Host, with_settings

from compatibility.samples import DATA_FOLDER, WRITERS, LendingDispatcher, encode_lines, restart_packets, write_store
from heronlug import ListKind, Outcome, PeerMessage, ServerEntry
from heronlug.balancer.zone_failover.zone_state import ZonePhase, ZoneState


def record_snapshot(zones: bool) -> bytes:
    """Returns the snapshot of a dispatcher after failures, an ejection and the start of servers that warm up."""
    host = Host(with_settings(zone_failover=zones, reports_start=True, report_fields=()), server_count=0)
    listed_servers = [ServerEntry(n, zone=n % 2, kind=n // 4, cell=n, started_at=900.0 * (n > 4)) for n in range(1, 7)]
    host.update_servers(ListKind.FULL, tuple(listed_servers))
    for number in range(60):
        host.new_request(0 if number % 10 else 2)
        host.now += 25
        for request, attempt in host.open_attempts()[:2]:
            failed = host.sent_to[request][attempt] == 2
            host.end_attempt(request, attempt, Outcome.ERROR if failed else Outcome.SERVED)
    host.new_request(0)
    (
        host.dispatcher.state.servers.capacities[0].peak_slots,
        host.dispatcher.state.servers.capacities[0].reported_slots,
    ) = 3.0, 2.5
    host.dispatcher.state.servers.by_id[2].outlier.saturated_until = 2600.0
    if zones:
        host.dispatcher.rules.zone_failover.zones[0] = ZoneState(ZonePhase.RETURNING, 1200.0, 2, 1, 0.0, "")
        host.dispatcher.rules.zone_failover.zones[1] = ZoneState(ZonePhase.EXCLUDED, 1300.0, 0, 3, float("inf"), "")
    return orjson.dumps(host.dispatcher.snapshot())


def record_loan() -> bytes:
    """Returns a request for a capacity loan at a server that warms up, and its grant."""
    position, borrower = next(
        (position_tried, member)
        for position_tried in range(14)
        if not (member := LendingDispatcher(position_tried)).server.slow_start.work_budget
    )
    (loan_request, holder), *_ = borrower.request_loan()
    lender = LendingDispatcher(holder)
    ((loan_grant, _),) = lender.shares.receive(PeerMessage(position, loan_request), lender.table.by_id, 21.0)
    return encode_lines({"ask": loan_request, "grant": loan_grant})


def main() -> None:
    """Writes the recorded files into the data folder."""
    for name, writer in WRITERS.items():
        (DATA_FOLDER / name).write_bytes(writer())
    (DATA_FOLDER / "learned.json").write_bytes(record_snapshot(False))
    (DATA_FOLDER / "learned-zones.json").write_bytes(record_snapshot(True))
    (DATA_FOLDER / "loan.txt").write_bytes(record_loan())
    (DATA_FOLDER / "store.sqlite").unlink(missing_ok=True)
    write_store(DATA_FOLDER / "store.sqlite")
    with tempfile.TemporaryDirectory() as folder:
        packets = asyncio.run(restart_packets(Path(folder)))
    (DATA_FOLDER / "restart-packets.json").write_bytes(
        orjson.dumps(list(map(list, packets)), option=orjson.OPT_INDENT_2)
    )


if __name__ == "__main__":
    main()
