const lineEnd = /\r\n|\r|\n/;
const byteOrderMark = "\u00ef\u00bb\u00bf";
/** What a header may carry, of a length that upstreams take. */
const sendableId = /^[\x20-\x7e\x80-\xff]{1,1024}$/;
const wholeNumber = /^\d{1,15}$/;
/** Number of ids that must have followed each other by one until a gap is taken for a missing event. */
const minRises = 3;

/** What the fields of one event say of its place in the stream. */
interface EventFields {
  /** Id of the event; empty when it removes the last one. */
  id: string | undefined;
  hasData: boolean;
}

/** The place of a stream after events that were passed on, as far as their ids tell it. */
export class EventPosition {
  private lastEventId: string | undefined;
  /** Whether nothing tells an upstream to go on after the last event, as that has no id. */
  private isUncertain = false;
  /** Number of ids that followed the one before by one; NaN once one did not. */
  private rises = 0;
  /** Id after which an upstream was asked to go on, until it has sent an event with an id. */
  private awaitedAfter: string | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates the position of a stream of which nothing was passed on. */
  static create(): EventPosition {
    return new EventPosition();
  }

  /** Gets the id of the last event that has one. */
  getLastEventId(): string | undefined {
    return this.lastEventId;
  }

  /**
   * Checks whether an upstream can be told where to go on: no event with data was passed on, or the last one of them has an
   * id.
   */
  isResumable(): boolean {
    const isSendable = this.lastEventId === undefined || sendableId.test(this.lastEventId);
    return !this.isUncertain && isSendable;
  }

  /**
   * Expects that what comes next goes on after an event.
   * @param id - Id of the event; undefined at the start of the stream.
   */
  expectAfter(id: string | undefined): void {
    this.awaitedAfter = id;
  }

  /**
   * Adds complete events, unless they do not go on where they must.
   * @param bytes - The events.
   * @returns Whether they were added.
   */
  add(bytes: Buffer): boolean {
    const events = readEvents(bytes);
    const firstId = events.find(({ id }) => id !== undefined)?.id;
    if (firstId !== undefined && this.isMisplaced(firstId)) {
      return false;
    }
    events.forEach((event) => {
      this.addEvent(event);
    });
    return true;
  }

  /** Checks whether an event comes a second time, or follows one that is missing. */
  private isMisplaced(id: string): boolean {
    const after = this.awaitedAfter;
    if (after === undefined || id === "") {
      return false;
    }
    if (!wholeNumber.test(after) || !wholeNumber.test(id)) {
      return id === after;
    }
    const rise = Number(id) - Number(after);
    const mayHaveGap = after !== this.lastEventId || !(this.rises >= minRises);
    return rise <= 0 || (rise > 1 && !mayHaveGap);
  }

  private addEvent({ id, hasData }: EventFields): void {
    if (id === undefined) {
      this.isUncertain ||= hasData;
      return;
    }
    this.awaitedAfter = undefined;
    this.isUncertain = id === "";
    this.recordRise(id);
    this.lastEventId = id === "" ? undefined : id;
  }

  private recordRise(id: string): void {
    if (this.lastEventId !== undefined) {
      this.rises = Number(id) - Number(this.lastEventId) === 1 ? this.rises + 1 : NaN;
    }
  }
}

/** Reads the fields of complete events that tell their place. */
function readEvents(bytes: Buffer): readonly EventFields[] {
  const text = bytes.toString("latin1");
  const lines = (text.startsWith(byteOrderMark) ? text.slice(byteOrderMark.length) : text).split(
    lineEnd,
  );
  const events: EventFields[] = [];
  let event: EventFields = { id: undefined, hasData: false };
  for (const line of lines) {
    if (line === "") {
      events.push(event);
      event = { id: undefined, hasData: false };
    } else if (line === "id" || line.startsWith("id:")) {
      event.id = line.slice("id:".length).trim();
    } else if (line === "data" || line.startsWith("data:")) {
      event.hasData = true;
    }
  }
  return events;
}
