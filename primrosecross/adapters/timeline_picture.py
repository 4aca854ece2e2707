"""The time line as a picture: who owned what when, one lane for each VM.

A lane is green while the lease is held; the line in it is the number of
shards owned. Other events are marks whose text shows under the pointer.
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
TICKS = 8
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
LANE_EVENTS = frozenset(
    {"LeaseGained", "LeaseLost", "OwnersChanged", "PlanInForce"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Scale:
    first_ms: int
    last_ms: int

    def x(self, time_ms: int) -> float:
        span_ms = max(1, self.last_ms - self.first_ms)
        width = WIDTH_PX - LABEL_PX - MARGIN_PX
        return LABEL_PX + width * (time_ms - self.first_ms) / span_ms


def svg(events: list[timeline_text.Event]) -> str:
    """Returns one self-contained SVG document.

    Args:
        events: In causal order.
    """
    return _draw(events).as_svg() + "\n"


def html(events: list[timeline_text.Event]) -> str:
    """Returns one self-contained HTML page with picture and text.

    Args:
        events: In causal order.
    """
    lines = "\n".join(timeline_text.line(event) for event in events)
    picture = _draw(events).as_svg(header="")
    return (
        "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>"
        f"<title>primrosecross time line</title></head><body>\n{picture}\n"
        f"<pre>{html_text.escape(lines)}</pre>\n</body></html>\n"
    )


def _draw(events: list[timeline_text.Event]) -> drawsvg.Drawing:
    vms = sorted({event.vm for event in events} | _subjects(events))
    height = TOP_PX + max(1, len(vms)) * (LANE_PX + LANE_GAP_PX) + MARGIN_PX
    drawing = drawsvg.Drawing(WIDTH_PX, height, font_family="sans-serif")
    drawing.append(drawsvg.Rectangle(0, 0, WIDTH_PX, height, fill="white"))
    if not events:
        drawing.append(drawsvg.Text("no events", FONT_PX, MARGIN_PX, TOP_PX))
        return drawing
    times = [event.time_ms for event in events]
    scale = _Scale(min(times), max(times))
    _draw_axis(drawing, scale, height)
    most = max((_owned(e) for e in events), default=0)
    for row, vm in enumerate(vms):
        lane = _Lane(drawing, scale, TOP_PX + row * (LANE_PX + LANE_GAP_PX))
        lane.draw(vm, [e for e in events if _concerns(e, vm)], most)
    return drawing


def _subjects(events: list[timeline_text.Event]) -> set[str]:
    return {e.detail["vm"] for e in events if "vm" in e.detail}


def _concerns(event: timeline_text.Event, vm: str) -> bool:
    return vm == event.detail.get("vm", event.vm)


def _owned(event: timeline_text.Event) -> int:
    return sum(s["owned"] for s in event.detail.get("services", ()))


def _draw_axis(drawing: drawsvg.Drawing, scale: _Scale, height: int) -> None:
    for tick in range(TICKS + 1):
        span_ms = scale.last_ms - scale.first_ms
        time_ms = scale.first_ms + span_ms * tick // TICKS
        x = scale.x(time_ms)
        drawing.append(
            drawsvg.Line(
                x, TOP_PX - 5, x, height - MARGIN_PX, stroke=GRID_COLOUR
            )
        )
        anchor = "end" if tick == TICKS else "middle"
        label = timeline_text.clock_time(time_ms)
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
    """One VM's lane.

    Args:
        drawing: Where it is drawn.
        scale: Turns times into places.
        top: Upper edge.
    """

    def __init__(
        self, drawing: drawsvg.Drawing, scale: _Scale, top: float
    ) -> None:
        self._drawing = drawing
        self._scale = scale
        self._top = top
        self._bottom = top + LANE_PX

    def draw(
        self, vm: str, events: list[timeline_text.Event], most: int
    ) -> None:
        """Draws lease, shards and marks."""
        middle = self._top + LANE_PX / 2 + FONT_PX / 2
        self._drawing.append(drawsvg.Text(vm, FONT_PX, MARGIN_PX, middle))
        self._draw_lease(events)
        self._draw_shards(events, most)
        for event in events:
            if event.kind not in LANE_EVENTS:
                self._draw_mark(event)
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
                    self._draw_held(since_ms, event.time_ms)
                since_ms = None
        if since_ms is not None:
            self._draw_held(since_ms, self._scale.last_ms)

    def _draw_held(self, start_ms: int, end_ms: int) -> None:
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
        self, events: list[timeline_text.Event], most: int
    ) -> None:
        path = drawsvg.Path(stroke=SHARDS_COLOUR, stroke_width=2, fill="none")
        path.M(self._scale.x(self._scale.first_ms), self._bottom)
        owned = 0
        for event in events:
            if event.kind not in ("OwnersChanged", "MemberRevoked"):
                continue
            x = self._scale.x(event.time_ms)
            path.L(x, self._height_of(owned, most))
            if _owned(event) != owned:
                owned = _owned(event)
                y = self._height_of(owned, most)
                path.L(x, y)
                self._drawing.append(
                    drawsvg.Text(str(owned), FONT_PX - 2, x + 2, y - 2)
                )
        end_x = self._scale.x(self._scale.last_ms)
        path.L(end_x, self._height_of(owned, most))
        self._drawing.append(path)

    def _height_of(self, owned: int, most: int) -> float:
        usable = LANE_PX - FONT_PX
        return self._bottom - usable * owned / max(1, most)

    def _draw_mark(self, event: timeline_text.Event) -> None:
        mark = drawsvg.Circle(
            self._scale.x(event.time_ms),
            self._bottom - MARK_PX,
            MARK_PX,
            fill=MARK_COLOURS.get(event.kind, OTHER_COLOUR),
        )
        mark.append_title(timeline_text.line(event))
        self._drawing.append(mark)
