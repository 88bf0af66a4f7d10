import type { EventPage, TimelineEvent } from "@pistachioway/kernel";

/** An event with the process that recorded it. */
export interface MergedEvent extends TimelineEvent {
  readonly process: string;
  readonly incarnation: string;
}

/**
 * Merges the events of several processes by their hybrid logical clocks.
 * @param pages - Events of each process.
 */
export function mergeEvents(pages: readonly EventPage[]): MergedEvent[] {
  return pages
    .flatMap(({ process, incarnation, events }) =>
      events.map((event) => ({ ...event, process, incarnation })),
    )
    .sort(compareEvents);
}

function compareEvents(a: MergedEvent, b: MergedEvent): number {
  return (
    a.at - b.at ||
    a.logical - b.logical ||
    compareTexts(a.process, b.process) ||
    compareTexts(a.incarnation, b.incarnation) ||
    a.sequence - b.sequence
  );
}

function compareTexts(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
