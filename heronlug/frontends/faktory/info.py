"""Builds the reply to INFO: the fields that Faktory's own tools read, plus counts of the dispatcher."""

from collections.abc import Collection
from datetime import UTC, datetime

from heronlug.frontends.faktory.job import Job
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.frontends.faktory.worker import Worker
from heronlug.requests.model import FinalAnswer


def server_info(
    now: float,
    open_jobs: Collection[Job],
    workers: Collection[Worker],
    answer_counts: dict[FinalAnswer, int],
    connection_count: int,
    reset_count: int,
) -> JsonObject:
    """Returns the state of the frontend as the JSON object of the INFO reply.

    Args:
        now: Unix time in ms.
        open_jobs: the jobs that have not ended.
        workers: all workers that have ever connected.
        answer_counts: number of jobs by final answer.
        connection_count: number of open connections.
        reset_count: number of reservations that were reset.
    """
    counts = {final.value: count for final, count in answer_counts.items()}
    return {
        "server_utc_time": datetime.fromtimestamp(now / 1000, UTC).strftime("%H:%M:%S UTC"),
        "faktory": {
            "total_processed": sum(counts.values()),
            "total_failures": counts[FinalAnswer.FAILED.value],
            "total_enqueued": len(open_jobs),
            "total_queues": len({job.queue for job in open_jobs}),
            "tasks": {
                "Workers": {"size": sum(1 for worker in workers if worker.connections)},
                "Working": {"size": sum(len(worker.reservations) for worker in workers)},
            },
        },
        "server": {"description": "heronlug", "connections": connection_count},
        "heronlug": {**counts, "resets": reset_count},
    }
