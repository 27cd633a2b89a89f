"""Background tasks whose exceptions are logged instead of lost."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

# Pause before a task that is to run for the life of its owner is started again.
RESTART_DELAY_SECONDS = 0.1

Report = Callable[..., None]


def error_location(error: BaseException) -> str:
    """Returns file and line that raised ``error``, empty if it was never raised."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    if frame is None:
        return ""
    return f"{frame.tb_frame.f_code.co_filename}:{frame.tb_lineno}"


class Tasks:
    """The tasks of one owner, which end with it."""

    __slots__ = ("_report", "_running")

    def __init__(self, report: Report) -> None:
        self._report = report
        self._running: set[asyncio.Task[Any]] = set()

    def start(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> "asyncio.Task[Any]":
        """Runs ``coroutine`` once; an exception is logged under ``name``."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(lambda done: self._on_done(done, name))
        return task

    def repeat(self, function: Callable[[], Awaitable[None]], name: str) -> None:
        """Runs ``function`` and starts it again whenever it ends with an exception."""
        self.start(self._run_again(function, name), name)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._running):
            task.cancel()

    async def _run_again(
        self, function: Callable[[], Awaitable[None]], name: str
    ) -> None:
        while True:
            try:
                await function()
                return
            except Exception as error:  # the work must go on
                self._report_failure(name, error)
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    def _on_done(self, task: "asyncio.Task[Any]", name: str) -> None:
        self._running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._report_failure(name, error)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self._report(
            "error",
            "task_failed",
            task=name,
            error=repr(error),
            where=error_location(error),
        )
