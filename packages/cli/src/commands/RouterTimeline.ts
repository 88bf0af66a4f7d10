import { Flags } from "@oclif/core";
import { writeTextFile } from "../files/index.js";
import { toEvents, type LogLine } from "../logs/index.js";
import { formatEvents, renderPage, type MergedEvent } from "../timeline/index.js";
import { LogCommand } from "./LogCommand.js";

interface TimelineReport {
  readonly events: readonly MergedEvent[];
}

/** Merges the logs of routers into one timeline. */
export class RouterTimeline extends LogCommand {
  static override description = "Merge the logs of routers into one timeline.";

  static override flags = {
    id: Flags.string({
      description:
        "Show only lines with a field of this value, as the id of a request or upstream.",
    }),
    html: Flags.string({ description: "Write a self-contained HTML page to this file instead." }),
  };

  async run(): Promise<TimelineReport> {
    const { flags } = await this.parse(RouterTimeline);
    const { id, html } = flags;
    const lines = await this.readLines(flags.log);
    const selected = id === undefined ? lines : lines.filter((line) => hasFieldValue(line, id));
    const events = toEvents(selected);
    if (html === undefined) {
      this.log(events.length === 0 ? "no events" : formatEvents(events));
    } else {
      const title = id === undefined ? "Timeline" : `Timeline of ${id}`;
      await writeTextFile(html, renderPage(title, getLanes(selected), events));
      this.log(`${html}: ${String(events.length)} events`);
    }
    return { events };
  }
}

function hasFieldValue({ fields }: LogLine, id: string): boolean {
  return Object.values(fields).some((value) => String(value) === id);
}

function getLanes(lines: readonly LogLine[]) {
  const daemons = [...new Set(lines.map(({ daemon }) => daemon))];
  return daemons.map((process) => ({ process, incarnation: "", dropped: 0 }));
}
