"""Command that shows the event timeline of all daemons."""

import enum
import json
import sys
import time
from collections.abc import Iterable
from typing import Annotated
from typing import Any

import typer

from primrosecross.adapters import timeline_svg
from primrosecross.adapters import timeline_text
from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.domain.operators import observer
from primrosecross.rpc import operator_pb2

POLL_INTERVAL_S = 1.0


class Format(enum.StrEnum):
    """Output format of the timeline."""

    TEXT = "text"
    JSON = "json"
    SVG = "svg"
    HTML = "html"


@client_module.with_client
def events(
    client: client_module.Client,
    follow: Annotated[
        bool, typer.Option("--follow", help="Keep printing new events.")
    ] = False,
    local: Annotated[
        bool, typer.Option("--local", help="Only events of the daemon called.")
    ] = False,
    limit: Annotated[
        int,
        typer.Option(min=0, help="Maximum number of events; 0 for all kept."),
    ] = 0,
    form: Annotated[
        Format, typer.Option("--output", help="Text, JSON lines or a diagram.")
    ] = Format.TEXT,
) -> None:
    """Shows the event timeline of all daemons, in causal order."""
    diagram_formats = (Format.SVG, Format.HTML)
    if follow and form in diagram_formats:
        raise output.fail(
            "--follow supports only text and json; change --output",
            output.EXIT_INVALID,
        )
    request = operator_pb2.ListEventsRequest(local=local, limit=limit)
    reply = client.call("ListEvents", request)
    _print_missing(reply, set())
    duplicates = observer.DuplicateFilter()
    event_list = _without_duplicates(
        [_to_event(e) for e in reply.events], duplicates
    )
    if form in diagram_formats:
        render = {
            Format.SVG: timeline_svg.render_svg,
            Format.HTML: timeline_svg.render_html,
        }[form]
        sys.stdout.write(render(event_list))
        return
    _print_events(event_list, form)
    if follow:
        _follow(client, request, reply, form, duplicates)


def _follow(
    client: client_module.Client,
    request: operator_pb2.ListEventsRequest,
    reply: operator_pb2.ListEventsReply,
    form: Format,
    duplicates: observer.DuplicateFilter,
) -> None:
    """Prints new events until interrupted.

    Buffers each event for one poll, so that an earlier event of another daemon
    that arrives late is still printed first.
    """
    missing_vms = {item.vm for item in reply.missing}
    request.limit = 0
    buffered: list[timeline_text.Event] = []
    try:
        while True:
            newest_stamp = max((event.stamp for event in buffered), default=0)
            time.sleep(POLL_INTERVAL_S)
            del request.cursors[:]
            request.cursors.extend(reply.cursors)
            reply = client.call("ListEvents", request)
            missing_vms = _print_missing(reply, missing_vms)
            buffered += [_to_event(e) for e in reply.events]
            buffered.sort(key=lambda event: event.stamp)
            ready = [e for e in buffered if e.stamp <= newest_stamp]
            _print_events(_without_duplicates(ready, duplicates), form)
            buffered = [e for e in buffered if e.stamp > newest_stamp]
    except KeyboardInterrupt:
        _print_events(_without_duplicates(buffered, duplicates), form)


def _without_duplicates(
    event_list: list[timeline_text.Event], duplicates: observer.DuplicateFilter
) -> list[timeline_text.Event]:
    return [
        e for e in event_list if not duplicates.is_duplicate(e.kind, e.detail)
    ]


def _to_event(entry: operator_pb2.EventEntry) -> timeline_text.Event:
    return timeline_text.Event(
        vm=entry.vm,
        sequence=entry.sequence,
        stamp=entry.stamp,
        wall_ms=entry.wall_ms,
        kind=entry.kind,
        detail=json.loads(entry.detail_json),
    )


def _print_events(
    event_list: Iterable[timeline_text.Event], form: Format
) -> None:
    for event in event_list:
        if form is Format.JSON:
            typer.echo(json.dumps(_row(event)))
        else:
            typer.echo(timeline_text.format_event(event))
    sys.stdout.flush()


def _row(event: timeline_text.Event) -> dict[str, Any]:
    return {
        "stamp": event.stamp,
        "time_ms": event.time_ms,
        "wall_ms": event.wall_ms,
        "vm": event.vm,
        "sequence": event.sequence,
        "event": event.kind,
        "detail": event.detail,
    }


def _print_missing(
    reply: operator_pb2.ListEventsReply, reported_vms: set[str]
) -> set[str]:
    """Prints VMs whose events are missing, unless reported before.

    Returns:
        Names of the VMs whose events are missing.
    """
    for item in reply.missing:
        if item.vm not in reported_vms:
            output.print_note(f"without {item.vm}: {item.problem}")
    if reply.dropped:
        output.print_note(f"{reply.dropped} older events are not shown")
    return {item.vm for item in reply.missing}
