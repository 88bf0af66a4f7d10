import type { Fields, Log, LogLevel } from "../log/index.js";
import type { Timeline } from "./Timeline.js";

/** Records an event in the time line and as a log line. */
export class Recorder {
  private constructor(
    private readonly timeline: Timeline,
    private readonly log: Log,
  ) {}

  /**
   * Creates a recorder.
   * @param timeline - Ring that keeps the event.
   * @param log - Log that writes it.
   */
  static create(timeline: Timeline, log: Log): Recorder {
    return new Recorder(timeline, log);
  }

  /**
   * Records an event.
   * @param name - Name of the event.
   * @param fields - Ids and values of the event.
   * @param level - Severity of the log line.
   */
  record(name: string, fields: Fields, level: LogLevel = "debug"): void {
    this.timeline.addEvent(name, fields);
    this.log.write(level, name, fields);
  }
}
