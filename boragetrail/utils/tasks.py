"""Groups of background tasks."""

import asyncio

from boragetrail.events import Event, log_event

__all__ = ["BackgroundTasks", "cancel_and_wait"]


class BackgroundTasks:
    """Set of background tasks that are cancelled together.

    Unlike in ``asyncio.TaskGroup``, a task that fails cancels no other task.

    :ivar tasks: tasks that have not ended
    """

    def __init__(self):
        self.tasks = set()

    def start(self, coroutine, name):
        """Start a task; an exception that ends the task is logged.

        :param coroutine: coroutine that the task runs
        :param name: name of the task in the log
        :returns: the ``asyncio.Task``
        """
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def start_calls(self, interval_s, function):
        """Start a task that calls a function at intervals.

        An exception of the function ends the task and is logged.

        :param interval_s: seconds before each call
        :param function: function without parameters
        :returns: the ``asyncio.Task``
        """
        calls = _call_at_intervals(interval_s, function)
        return self.start(calls, function.__name__)

    async def close(self):
        """Cancel all tasks and wait until they end."""
        await cancel_and_wait(list(self.tasks))

    def _on_done(self, task):
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = repr(task.exception())
        log_event(Event.TASK_FAILED, task=task.get_name(), error=error)


async def cancel_and_wait(tasks):
    """Cancel tasks and wait until all have ended.

    :param tasks: iterable of ``asyncio.Task``; their exceptions are ignored
    """
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _call_at_intervals(interval_s, function):
    while True:
        await asyncio.sleep(interval_s)
        function()
