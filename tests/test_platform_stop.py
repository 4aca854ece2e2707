"""A planned stop of one daemon in calm, with requests at every age of it.

Guards against requests that come late in a stop, are passed on, and are cut at
its end without an answer.
"""

import dataclasses
import http.client
import pathlib
import tempfile
import threading
import time
import unittest

from standins import sidecars

READY_TIMEOUT_S = 30.0
STEP_S = 0.25
LAST_AGE_S = 6.25
WORK_MS = 700
LONG_WORK_MS = 1700  # below the timeout of the route


@dataclasses.dataclass
class _Sent:
    """A request, and what its caller got."""

    request_id: str
    age_s: float
    status: int = 0
    problem: str = ""


class StopTest(unittest.TestCase):
    """Three VMs without keys; the first one is stopped."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = sidecars.Sidecars(
            services=["desk", "files", "files"],
            directory=pathlib.Path(directory.name),
        )
        self.addCleanup(self.fleet.stop)
        with self.fleet.group.described_on_failure():
            self.fleet.start()
            self.fleet.put_config(sidecars.config(1), create=True)
            self._await_service()

    def _await_service(self) -> None:
        until_s = time.monotonic() + READY_TIMEOUT_S
        for vm in self.fleet.vms:
            while True:
                try:
                    result = self.fleet.send(vm, "/file/x", request_id="first")
                    if result[0] == 200:
                        break
                except OSError as error:
                    result = error
                if time.monotonic() > until_s:
                    raise TimeoutError(f"{vm.vm} does not serve: {result}")
                time.sleep(0.1)

    def _connect(self) -> http.client.HTTPConnection:
        port = self.fleet.vms[0].ports["outbound"]
        return http.client.HTTPConnection("127.0.0.1", port, timeout=8)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        sent: _Sent,
        method: str,
        work_ms: int,
    ) -> None:
        headers = sidecars.request_headers(sent.request_id, 5000, None)
        try:
            connection.request(method, f"/file/x?ms={work_ms}", headers=headers)
            response = connection.getresponse()
            response.read()
            sent.status = response.status
        except (OSError, http.client.HTTPException) as error:
            sent.problem = repr(error)
        finally:
            connection.close()

    def _stop_beside_requests(self) -> list[_Sent]:
        """Stops the first daemon; sends at each age on both kinds."""
        ages = [n * STEP_S for n in range(int(LAST_AGE_S / STEP_S) + 1)]
        kept = []
        for _ in ages:
            connection = self._connect()
            connection.request(
                "GET",
                "/file/x",
                headers=sidecars.request_headers("kept", 2000, None),
            )
            connection.getresponse().read()
            kept.append(connection)
        results: list[_Sent] = []
        threads = []
        started_s = time.monotonic()
        self.fleet.vms[0].daemon.terminate()
        for n, age_s in enumerate(ages):
            time.sleep(max(0.0, started_s + age_s - time.monotonic()))
            for kind, connection, work_ms in (
                ("kept", kept[n], WORK_MS),
                ("new", self._connect(), WORK_MS),
                ("long", self._connect(), LONG_WORK_MS),
            ):
                sent = _Sent(f"{kind}-{age_s}", age_s)
                results.append(sent)
                method = "GET" if n % 2 else "POST"
                thread = threading.Thread(
                    target=self._send,
                    args=(connection, sent, method, work_ms),
                )
                thread.start()
                threads.append(thread)
        for thread in threads:
            thread.join()
        return results

    def test_what_was_passed_on_is_answered_at_every_age_of_a_stop(self):
        results = self._stop_beside_requests()
        ran = {entry["id"] for entry in self.fleet.journal()}
        answered = [r for r in results if r.status]
        self.assertGreater(len(answered), 5)
        for sent in results:
            with self.subTest(sent):
                if sent.request_id in ran:
                    self.assertEqual(sent.status, 200)
                elif sent.status:
                    self.assertEqual(sent.status, 503)
        self.assertEqual(self.fleet.vms[0].daemon.wait(timeout=8), 0)
