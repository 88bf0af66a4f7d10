import { createLogger, format, transports, type Logger } from "winston";
import { formatLine, type Fields, type LogLevel } from "./line.js";

/** Writes one line of key=value pairs per event. */
export class Log {
  private constructor(
    private readonly logger: Logger,
    private readonly commonFields: Fields,
  ) {}

  /**
   * Creates a log on standard output.
   * @param level - Least severe level that is written.
   * @param commonFields - Fields of every line.
   */
  static create(level: LogLevel, commonFields: Fields): Log {
    const line = format.printf((info) => String(info.message));
    // If the reader of the log closes the pipe, the daemon must continue to run.
    process.stdout.on("error", () => undefined);
    const logger = createLogger({ level, format: line, transports: [new transports.Console()] });
    return new Log(logger, commonFields);
  }

  /**
   * Writes one event.
   * @param level - Severity.
   * @param event - Name of the event.
   * @param fields - Fields of the event.
   */
  write(level: LogLevel, event: string, fields: Fields = {}): void {
    if (!this.logger.isLevelEnabled(level)) {
      return;
    }
    const at = new Date().toISOString();
    this.logger.log(level, formatLine({ at, level, event, ...this.commonFields, ...fields }));
  }

  /** Resolves when all events are written; they are written at once. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}
