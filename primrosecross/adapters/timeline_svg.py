"""Timeline as an SVG diagram of ownership, with one lane for each VM.

A lane is green while the lease is held; the line in it shows the number of
shards owned. Other events are marks whose text is shown as a tooltip.
"""

import dataclasses
import html as html_text

import drawsvg

from primrosecross.adapters import timeline_text

WIDTH_PX = 1100
LABEL_PX = 130
MARGIN_PX = 20
TOP_PX = 50
LANE_PX = 46
LANE_GAP_PX = 10
FONT_PX = 11
TICK_COUNT = 8
MARK_PX = 4
LEASE_COLOUR = "#cfe8cf"
SHARDS_COLOUR = "#20508f"
GRID_COLOUR = "#dddddd"
MARK_COLOURS = {
    "MemberRevoking": "#d98200",
    "MemberRevoked": "#c01c1c",
    "MemberDraining": "#7a3fb0",
    "MemberUndrained": "#7a3fb0",
    "MemberJoined": "#2c8a2c",
    "CoordinatorElected": "#000000",
    "StoreOutage": "#c01c1c",
    "StoreReturned": "#2c8a2c",
    "RefusalBurst": "#d98200",
    "ConnectionGivenUp": "#d98200",
    "PlanApplied": "#20508f",
}
OTHER_COLOUR = "#777777"
LANE_EVENT_KINDS = frozenset(
    {"LeaseGained", "LeaseLost", "OwnersChanged", "PlanInForce"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _TimeScale:
    first_ms: int
    last_ms: int

    def x(self, time_ms: int) -> float:
        span_ms = max(1, self.last_ms - self.first_ms)
        width_px = WIDTH_PX - LABEL_PX - MARGIN_PX
        return LABEL_PX + width_px * (time_ms - self.first_ms) / span_ms


def render_svg(events: list[timeline_text.Event]) -> str:
    """Returns a self-contained SVG document.

    Args:
        events: In causal order.
    """
    return _draw(events).as_svg() + "\n"


def render_html(events: list[timeline_text.Event]) -> str:
    """Returns a self-contained HTML page with the diagram and the text.

    Args:
        events: In causal order.
    """
    lines = "\n".join(timeline_text.format_event(event) for event in events)
    picture = _draw(events).as_svg(header="")
    return (
        "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>"
        f"<title>primrosecross timeline</title></head><body>\n{picture}\n"
        f"<pre>{html_text.escape(lines)}</pre>\n</body></html>\n"
    )


def _draw(events: list[timeline_text.Event]) -> drawsvg.Drawing:
    vms = sorted({event.vm for event in events} | _subject_vms(events))
    height_px = TOP_PX + max(1, len(vms)) * (LANE_PX + LANE_GAP_PX) + MARGIN_PX
    drawing = drawsvg.Drawing(WIDTH_PX, height_px, font_family="sans-serif")
    drawing.append(drawsvg.Rectangle(0, 0, WIDTH_PX, height_px, fill="white"))
    if not events:
        drawing.append(drawsvg.Text("no events", FONT_PX, MARGIN_PX, TOP_PX))
        return drawing
    times = [event.time_ms for event in events]
    scale = _TimeScale(min(times), max(times))
    _draw_axis(drawing, scale, height_px)
    max_owned = max((_count_owned_shards(e) for e in events), default=0)
    for row, vm in enumerate(vms):
        lane = _Lane(drawing, scale, TOP_PX + row * (LANE_PX + LANE_GAP_PX))
        lane.draw(vm, [e for e in events if _concerns(e, vm)], max_owned)
    return drawing


def _subject_vms(events: list[timeline_text.Event]) -> set[str]:
    return {e.detail["vm"] for e in events if "vm" in e.detail}


def _concerns(event: timeline_text.Event, vm: str) -> bool:
    return vm == event.detail.get("vm", event.vm)


def _count_owned_shards(event: timeline_text.Event) -> int:
    return sum(s["owned"] for s in event.detail.get("services", ()))


def _draw_axis(
    drawing: drawsvg.Drawing, scale: _TimeScale, height_px: int
) -> None:
    for tick in range(TICK_COUNT + 1):
        span_ms = scale.last_ms - scale.first_ms
        time_ms = scale.first_ms + span_ms * tick // TICK_COUNT
        x = scale.x(time_ms)
        drawing.append(
            drawsvg.Line(
                x, TOP_PX - 5, x, height_px - MARGIN_PX, stroke=GRID_COLOUR
            )
        )
        anchor = "end" if tick == TICK_COUNT else "middle"
        label = timeline_text.format_time(time_ms)
        drawing.append(
            drawsvg.Text(label, FONT_PX, x, TOP_PX - 12, text_anchor=anchor)
        )
    drawing.append(
        drawsvg.Text(
            "green: lease held; line: shards owned; marks: other events (UTC)",
            FONT_PX,
            MARGIN_PX,
            18,
        )
    )


class _Lane:
    """Lane of one VM.

    Args:
        drawing: Drawing that the lane is added to.
        scale: Maps times to x coordinates.
        top: Y coordinate of the upper edge.
    """

    def __init__(
        self, drawing: drawsvg.Drawing, scale: _TimeScale, top: float
    ) -> None:
        self._drawing = drawing
        self._scale = scale
        self._top = top
        self._bottom = top + LANE_PX

    def draw(
        self, vm: str, events: list[timeline_text.Event], max_owned: int
    ) -> None:
        """Draws lease, shards and marks."""
        baseline_px = self._top + LANE_PX / 2 + FONT_PX / 2
        self._drawing.append(drawsvg.Text(vm, FONT_PX, MARGIN_PX, baseline_px))
        self._draw_lease(events)
        self._draw_shards(events, max_owned)
        for event in events:
            if event.kind not in LANE_EVENT_KINDS:
                self._draw_event_mark(event)
        self._drawing.append(
            drawsvg.Line(
                LABEL_PX,
                self._bottom,
                WIDTH_PX - MARGIN_PX,
                self._bottom,
                stroke=GRID_COLOUR,
            )
        )

    def _draw_lease(self, events: list[timeline_text.Event]) -> None:
        since_ms: int | None = None
        for event in events:
            if event.kind == "LeaseGained" and since_ms is None:
                since_ms = event.time_ms
            elif event.kind in ("LeaseLost", "MemberRevoked"):
                if since_ms is not None:
                    self._draw_lease_band(since_ms, event.time_ms)
                since_ms = None
        if since_ms is not None:
            self._draw_lease_band(since_ms, self._scale.last_ms)

    def _draw_lease_band(self, start_ms: int, end_ms: int) -> None:
        x = self._scale.x(start_ms)
        band = drawsvg.Rectangle(
            x,
            self._top,
            max(1.0, self._scale.x(end_ms) - x),
            LANE_PX,
            fill=LEASE_COLOUR,
        )
        band.append_title("lease held")
        self._drawing.append(band)

    def _draw_shards(
        self, events: list[timeline_text.Event], max_owned: int
    ) -> None:
        path = drawsvg.Path(stroke=SHARDS_COLOUR, stroke_width=2, fill="none")
        path.M(self._scale.x(self._scale.first_ms), self._bottom)
        owned = 0
        for event in events:
            if event.kind not in ("OwnersChanged", "MemberRevoked"):
                continue
            x = self._scale.x(event.time_ms)
            path.L(x, self._y_of(owned, max_owned))
            if _count_owned_shards(event) != owned:
                owned = _count_owned_shards(event)
                y = self._y_of(owned, max_owned)
                path.L(x, y)
                self._drawing.append(
                    drawsvg.Text(str(owned), FONT_PX - 2, x + 2, y - 2)
                )
        end_x = self._scale.x(self._scale.last_ms)
        path.L(end_x, self._y_of(owned, max_owned))
        self._drawing.append(path)

    def _y_of(self, owned: int, max_owned: int) -> float:
        usable_px = LANE_PX - FONT_PX
        return self._bottom - usable_px * owned / max(1, max_owned)

    def _draw_event_mark(self, event: timeline_text.Event) -> None:
        mark = drawsvg.Circle(
            self._scale.x(event.time_ms),
            self._bottom - MARK_PX,
            MARK_PX,
            fill=MARK_COLOURS.get(event.kind, OTHER_COLOUR),
        )
        mark.append_title(timeline_text.format_event(event))
        self._drawing.append(mark)
