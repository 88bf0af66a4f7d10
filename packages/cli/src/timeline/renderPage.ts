import { formatFields, formatInstant } from "./formatEvents.js";
import type { MergedEvent } from "./mergeEvents.js";

const style = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; color: #222; background: #fff; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { border-left: 1px solid #ccc; padding: 2px 8px; vertical-align: top; }
tbody tr:nth-child(odd) { background: #f7f7f7; }
td.time { white-space: nowrap; font-variant-numeric: tabular-nums; color: #555; }
.name { font-weight: 600; }
.fields { display: block; font: 12px/1.4 ui-monospace, monospace; overflow-wrap: anywhere; }
.dropped { color: #a00; }
`;

/** A process, shown as a column of the page. */
export interface Lane {
  readonly process: string;
  readonly incarnation: string;
  /** Number of events that the process discarded before they were read. */
  readonly dropped: number;
}

/**
 * Renders a self-contained HTML page with one column for each process.
 * @param title - Title of the page.
 * @param lanes - Processes, in the order of their columns.
 * @param events - Merged events.
 */
export function renderPage(
  title: string,
  lanes: readonly Lane[],
  events: readonly MergedEvent[],
): string {
  const startAt = events[0]?.at ?? 0;
  const rows = events.map((event) => renderRow(event, lanes, startAt)).join("\n");
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>${escapeHtml(title)}</title>
<style>${style}</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<p>${String(events.length)} events of ${String(lanes.length)} processes, from ${escapeHtml(formatInstant(startAt))}; times are milliseconds since then.</p>
<table>
<thead><tr><th>ms</th>${lanes.map(renderHeading).join("")}</tr></thead>
<tbody>
${rows}
</tbody>
</table>
</body>
</html>
`;
}

function renderHeading(lane: Lane): string {
  const dropped =
    lane.dropped === 0 ? "" : `<br><span class="dropped">${String(lane.dropped)} lost</span>`;
  return `<th>${escapeHtml(lane.process)}<br><small>${escapeHtml(lane.incarnation)}</small>${dropped}</th>`;
}

function renderRow(event: MergedEvent, lanes: readonly Lane[], startAt: number): string {
  const cells = lanes.map((lane) => `<td>${isInLane(event, lane) ? renderEvent(event) : ""}</td>`);
  const title = `${formatInstant(event.at)} logical ${String(event.logical)}`;
  const time = `<td class="time" title="${escapeHtml(title)}">${String(event.at - startAt)}</td>`;
  return `<tr>${time}${cells.join("")}</tr>`;
}

function renderEvent(event: MergedEvent): string {
  const name = `<span class="name">${escapeHtml(event.name)}</span>`;
  return `${name}<span class="fields">${escapeHtml(formatFields(event.fields))}</span>`;
}

function isInLane(event: MergedEvent, lane: Lane): boolean {
  return event.process === lane.process && event.incarnation === lane.incarnation;
}

const entities: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => entities[character] ?? character);
}
