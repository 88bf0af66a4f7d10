import { Flags } from "@oclif/core";
import { queryDaemons, followEvents, type FollowedEvents } from "../daemons/index.js";
import { writeTextFile } from "../files/index.js";
import {
  formatEvents,
  mergeEvents,
  renderPage,
  type Lane,
  type MergedEvent,
} from "../timeline/index.js";
import { DaemonCommand, type ReportedFailure } from "./DaemonCommand.js";

interface TimelineReport {
  readonly processes: readonly Lane[];
  readonly events: readonly MergedEvent[];
  /** False when more requests and acts are linked to the id than the limit allows to read. */
  readonly isWhole: boolean;
  readonly failures: readonly ReportedFailure[];
}

/** Merges the events of all daemons into one timeline. */
export class Timeline extends DaemonCommand {
  static override description =
    "Merge the events of all daemons into one timeline, ordered by their hybrid logical clocks.";

  static override flags = {
    id: Flags.string({
      description: "Show only the events of this request, act, act key or chat.",
    }),
    html: Flags.string({ description: "Write a self-contained HTML page to this file instead." }),
  };

  async run(): Promise<TimelineReport> {
    const { flags } = await this.parse(Timeline);
    const queriedAt = Date.now();
    const addresses = this.getAddresses(flags.daemon);
    const { responses, failures, isWhole } = await readEvents(addresses, flags.id, queriedAt);
    const pages = responses.map(({ value }) => value);
    const processes = pages.map(({ process, incarnation, dropped }) => ({
      process,
      incarnation,
      dropped,
    }));
    const events = mergeEvents(pages);
    if (flags.html === undefined) {
      this.log(events.length === 0 ? "no events" : formatEvents(events));
    } else {
      const title = flags.id === undefined ? "Timeline" : `Timeline of ${flags.id}`;
      await writeTextFile(flags.html, renderPage(title, processes, events));
      this.log(`${flags.html}: ${String(events.length)} events`);
    }
    this.warnOfDroppedEvents(processes);
    if (!isWhole && !this.jsonEnabled()) {
      this.logToStderr(
        "warning: the events are incomplete; too many requests and acts are linked to the id",
      );
    }
    return { processes, events, isWhole, failures: this.reportFailures(failures) };
  }

  private warnOfDroppedEvents(lanes: readonly Lane[]): void {
    for (const { process, dropped } of lanes) {
      if (dropped > 0 && !this.jsonEnabled()) {
        this.logToStderr(`warning: ${process} no longer holds ${String(dropped)} older events`);
      }
    }
  }
}

async function readEvents(
  addresses: readonly string[],
  id: string | undefined,
  queriedAt: number,
): Promise<FollowedEvents> {
  if (id !== undefined) {
    return followEvents(addresses, id, queriedAt);
  }
  const responses = await queryDaemons(addresses, (client) =>
    client.getEvents(undefined, queriedAt),
  );
  return { ...responses, isWhole: true };
}
