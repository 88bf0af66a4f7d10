import type { EventPage, Instant, TimelineEvent } from "@pistachioway/kernel";
import type { Fields } from "../log/index.js";

/** A page of the timeline and the position of the next page. */
export type TimelinePage = Pick<EventPage, "events" | "next" | "dropped">;

const maxEvents = 20_000;
const maxPageEvents = 5_000;

/** A ring buffer of events that are ordered by a hybrid logical clock. */
export class Timeline {
  private readonly ring: TimelineEvent[] = [];
  private nextSequence = 1;
  private lastAt: Instant = 0;
  private logical = 0;

  private constructor(private readonly getNow: () => Instant) {}

  /**
   * Creates an empty timeline.
   * @param getNow - Reads the clock.
   */
  static create(getNow: () => Instant): Timeline {
    return new Timeline(getNow);
  }

  /**
   * Adds an event.
   * @param name - Name of the event.
   * @param fields - Fields of the event.
   */
  addEvent(name: string, fields: Fields): void {
    this.advance(this.getNow(), 0);
    const event = {
      sequence: this.nextSequence,
      at: this.lastAt,
      logical: this.logical,
      name,
      fields,
    };
    this.ring[this.nextSequence % maxEvents] = event;
    this.nextSequence += 1;
  }

  /**
   * Advances the clock past the timestamp of a peer's message.
   * @param at - Wall-clock part of the timestamp.
   * @param logical - Logical part of the timestamp.
   */
  observe(at: Instant, logical: number): void {
    const now = this.getNow();
    if (at > this.lastAt && at >= now) {
      this.lastAt = at;
      this.logical = logical + 1;
      return;
    }
    this.advance(now, at === this.lastAt ? logical : 0);
  }

  /** Advances the clock and gets its value, the timestamp of a message. */
  getClock(): { at: Instant; logical: number } {
    this.advance(this.getNow(), 0);
    return { at: this.lastAt, logical: this.logical };
  }

  /**
   * Gets the events after a sequence number.
   * @param after - Sequence number of the last event that the reader has.
   * @param id - Selects the events that have this value in a field.
   */
  getPage(after: number, id?: string): TimelinePage {
    const oldest = Math.max(1, this.nextSequence - maxEvents);
    const first = Math.max(after + 1, oldest);
    const events: TimelineEvent[] = [];
    let sequence = first;
    while (sequence < this.nextSequence && events.length < maxPageEvents) {
      const event = this.ring[sequence % maxEvents];
      if (event !== undefined && (id === undefined || hasValue(event, id))) {
        events.push(event);
      }
      sequence += 1;
    }
    return { events, next: sequence - 1, dropped: Math.max(0, oldest - (after + 1)) };
  }

  private advance(now: Instant, peerLogical: number): void {
    if (now > this.lastAt) {
      this.lastAt = now;
      this.logical = 0;
      return;
    }
    this.logical = Math.max(this.logical, peerLogical) + 1;
  }
}

function hasValue(event: TimelineEvent, id: string): boolean {
  return Object.values(event.fields).some((value) => value === id);
}
