import type { Fields, Log, LogLevel } from "../log/index.js";
import type { Timeline } from "./Timeline.js";

/** Records events in the timeline and in the log. */
export class Recorder {
  private constructor(
    private readonly timeline: Timeline,
    private readonly log: Log,
  ) {}

  /**
   * Creates a recorder.
   * @param timeline - Timeline that keeps the events.
   * @param log - Log that the events are written to.
   */
  static create(timeline: Timeline, log: Log): Recorder {
    return new Recorder(timeline, log);
  }

  /**
   * Records an event.
   * @param name - Name of the event.
   * @param fields - Fields of the event.
   * @param level - Severity of the log line.
   */
  record(name: string, fields: Fields, level: LogLevel = "debug"): void {
    this.timeline.addEvent(name, fields);
    this.log.write(level, name, fields);
  }
}
