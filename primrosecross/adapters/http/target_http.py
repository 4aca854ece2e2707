"""Runs requests on the targets of this VM over HTTP."""

import contextlib
import logging
from collections.abc import Iterator

import gevent
import geventhttpclient
from gevent import pool as gevent_pool
from geventhttpclient import response as http_response

from primrosecross.adapters import outcome_log
from primrosecross.adapters import sockets
from primrosecross.adapters.http import target_connection
from primrosecross.adapters.http import target_response
from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.requests import body
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

KEY_HEADER = "Primrosecross-Key"
GENERATION_HEADER = "Primrosecross-Generation"
LEASE_HEADER = "Primrosecross-Lease-Expires-Ns"
TIMEOUT_HEADER = "Primrosecross-Timeout-Ms"
CANCEL_TIMEOUT_S = 1.0
LISTEN_CHECK_COUNT = 2
LISTEN_CHECK_INTERVAL_S = 0.02
MAX_CONCURRENT_CANCELLATIONS = 32
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "transfer-encoding",
        "keep-alive",
        target_connection.REQUEST_ID_HEADER.lower(),
    }
)

_logger = logging.getLogger(__name__)


class _ConnectionClosedError(Exception):
    """A reused connection closed before the first byte of a response."""


class HttpTargets:
    """Runs requests on targets over HTTP.

    A target that did not run a request answers 503 with the header
    Primrosecross-Not-Run: true. Each response should have the request's ID in
    Primrosecross-Request-Id, as a faulty target may write an earlier response
    once more. Without the ID, a refusal counts only as the first response on a
    connection, so requests that are not idempotent get new connections.

    A request counts as not run until its first byte is written to a connection.
    From then until the complete response has arrived, its outcome is unknown.

    Args:
        clock: Clock that deadlines refer to.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._pools: dict[tuple[str, int], target_connection.Pool] = {}
        self._cancellation_tasks = gevent_pool.Pool(
            MAX_CONCURRENT_CANCELLATIONS
        )

    def run(
        self,
        announcement: target_port.Announcement,
        req: request.Request,
        fence: target_port.Fence,
    ) -> outcome.Outcome:
        """Runs a request on a target and returns its outcome.

        The target is sent a cancellation if the deadline passes or the calling
        task is killed before the response arrives.
        """
        exchange = _Exchange(
            pool=self._pool(announcement),
            host=announcement.address,
            req=req,
            fence=fence,
            clock=self._clock,
        )
        try:
            result = exchange.run()
            outcome_log.log_unknown(req, result)
            return result
        except BaseException:
            self._cancel(announcement, req)
            raise
        finally:
            if exchange.timed_out:
                self._cancel(announcement, req)

    def _pool(
        self, announcement: target_port.Announcement
    ) -> target_connection.Pool:
        key = (announcement.address, announcement.connections)
        pool = self._pools.get(key)
        if pool is None:
            pool = target_connection.Pool(
                announcement.address, size=announcement.connections
            )
            self._pools[key] = pool
        return pool

    def _cancel(
        self, announcement: target_port.Announcement, req: request.Request
    ) -> None:
        if announcement.cancel_path and not self._cancellation_tasks.full():
            self._cancellation_tasks.spawn(
                _send_cancellation, announcement, req.request_id
            )

    def is_listening(self, announcement: target_port.Announcement) -> bool:
        """Returns False if the target refuses one of several connections.

        A target that accepts none in time may still be listening.
        """
        host, _, port = announcement.address.rpartition(":")
        for _ in range(LISTEN_CHECK_COUNT):
            try:
                sockets.connect(
                    (host, int(port)),
                    timeout_s=target_connection.CONNECT_TIMEOUT_S,
                ).close()
            except ConnectionRefusedError:
                return False
            except OSError as error:
                _logger.info("cannot connect to a target: %s", error)
                return True
            gevent.sleep(LISTEN_CHECK_INTERVAL_S)
        return True

    def close_connections(self, announcement: target_port.Announcement) -> None:
        """Closes the pooled connections to a removed target."""
        key = (announcement.address, announcement.connections)
        pool = self._pools.pop(key, None)
        if pool is not None:
            pool.close()


def _send_cancellation(
    announcement: target_port.Announcement, request_id: str
) -> None:
    host, _, port = announcement.address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host,
        int(port),
        connection_timeout=CANCEL_TIMEOUT_S,
        network_timeout=CANCEL_TIMEOUT_S,
    )
    try:
        client.post(
            announcement.cancel_path,
            "",
            {target_connection.REQUEST_ID_HEADER: request_id},
        ).read()
    except (OSError, http_response.HTTPParseError) as error:
        _logger.info("could not send a cancellation to the target: %s", error)
    finally:
        client.close()


class _Exchange:
    """One request to a target and its response.

    Attributes:
        timed_out: Whether the deadline passed after the request was sent.
    """

    def __init__(
        self,
        *,
        pool: target_connection.Pool,
        host: str,
        req: request.Request,
        fence: target_port.Fence,
        clock: clock_port.Clock,
    ) -> None:
        self._pool = pool
        self._host_header = host
        self._req = req
        self._fence = fence
        self._clock = clock
        self.timed_out = False

    def run(self) -> outcome.Outcome:
        try:
            return self._attempt()
        except _ConnectionClosedError as error:
            if self._req.idempotent and isinstance(self._req.body, bytes):
                return outcome.after_loss(self._retry(), str(error))
            return _response_lost(error)

    def _retry(self) -> outcome.Outcome:
        try:
            return self._attempt()
        except _ConnectionClosedError as error:
            return _response_lost(error)

    def _attempt(self) -> outcome.Outcome:
        remaining_ns = self._req.deadline_ns - self._clock.now_ns()
        if remaining_ns <= 0:
            return _deadline_passed()
        deadline = gevent.Timeout.start_new(remaining_ns / 1e9)
        sock = None
        try:
            try:
                sock = self._connect()
            except OSError as error:
                return outcome.NotRun(
                    outcome.Reason.NO_TARGET,
                    f"cannot connect to the target: {error}",
                )
            return self._exchange(sock, remaining_ns=remaining_ns)
        except gevent.Timeout as timeout:
            if timeout is not deadline:
                raise
            if sock is None:
                return _deadline_passed()
            self.timed_out = True
            return _response_lost(
                "the deadline passed before the response arrived"
            )
        finally:
            deadline.close()

    def _connect(self) -> gevent.socket.socket:
        if not self._req.idempotent and not self._pool.echoes_ids:
            return self._pool.get_new_socket()
        return self._pool.get_socket()

    def _exchange(
        self, sock: gevent.socket.socket, *, remaining_ns: int
    ) -> outcome.Outcome:
        reused = self._pool.is_reused(sock)
        with self._released_on_error(sock):
            try:
                self._send(sock, remaining_ns)
            except errors.BodyError as error:
                self._pool.release_socket(sock)
                return _response_lost(error)
            except OSError as error:
                # The target may have responded before reading everything.
                _logger.debug("could not send a request to a target: %s", error)
        try:
            response = target_connection.Response(
                sock,
                self._pool,
                method=self._req.method,
                request_id=self._req.request_id,
                reused=reused,
            )
        except http_response.HTTPConnectionClosed as error:
            if reused:
                raise _ConnectionClosedError(str(error)) from error
            return _response_lost(error)
        except (OSError, http_response.HTTPParseError) as error:
            return _response_lost(error)
        return self._read_response(response)

    @contextlib.contextmanager
    def _released_on_error(self, sock: gevent.socket.socket) -> Iterator[None]:
        try:
            yield
        except BaseException:
            self._pool.release_socket(sock)
            raise

    def _send(self, sock: gevent.socket.socket, remaining_ns: int) -> None:
        head = self._request_head(remaining_ns)
        if isinstance(self._req.body, bytes):
            sock.sendall(head + self._req.body)
            return
        sock.sendall(head)
        for piece in body.pieces(self._req.body):
            sock.sendall(piece)

    def _request_head(self, remaining_ns: int) -> bytes:
        req = self._req
        lines = [
            f"{req.method} {req.path} HTTP/1.1",
            f"Host: {self._host_header}",
        ]
        lines += [f"{name}: {value}" for name, value in req.headers]
        lines += [
            f"{target_connection.REQUEST_ID_HEADER}: {req.request_id}",
            f"{KEY_HEADER}: {req.key}",
            f"{GENERATION_HEADER}: {self._fence.generation}",
            f"{LEASE_HEADER}: {self._fence.lease_expires_ns}",
            f"{TIMEOUT_HEADER}: {remaining_ns // lease_module.NS_PER_MS}",
        ]
        if len(req.body) or req.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(req.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")

    def _read_response(
        self, response: target_connection.Response
    ) -> outcome.Outcome:
        if response.skipped:
            _logger.info(
                "skipped %d responses to other requests",
                response.skipped,
                extra={"request_id": self._req.request_id},
            )
        stream = target_response.ResponseStream(
            response, deadline_ns=self._req.deadline_ns, clock=self._clock
        )
        try:
            content = stream.buffer_if_short()
        except errors.BodyError as error:
            return _response_lost(error)
        except BaseException:
            stream.close()
            raise
        if response.is_refusal:
            body.close(content)
            return _to_refusal(response, content)
        headers = tuple(
            (str(name), str(value))
            for name, value in response.items()
            if name.lower() not in _DROPPED_HEADERS
        )
        return outcome.Answered(response.status_code, headers, content)


def _to_refusal(
    response: target_connection.Response, content: body.Body
) -> outcome.Outcome:
    if not response.identified:
        return _response_lost("a refusal without ID on a reused connection")
    return outcome.NotRun(
        outcome.Reason.TARGET_REFUSED, _refusal_detail(content)
    )


def _refusal_detail(content: body.Body) -> str:
    data = content if isinstance(content, bytes) else b""
    return data.decode(errors="replace")[:200]


def _deadline_passed() -> outcome.NotRun:
    return outcome.NotRun(
        outcome.Reason.DEADLINE, "the deadline passed in the router"
    )


def _response_lost(problem: object) -> outcome.Unknown:
    return outcome.Unknown(
        outcome.Reason.ANSWER_LOST, f"the target's response was lost: {problem}"
    )
