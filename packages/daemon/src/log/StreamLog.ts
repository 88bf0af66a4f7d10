import sonicBoom from "sonic-boom";
import { formatLine, type Fields, type LogLevel } from "./line.js";

const levels: readonly LogLevel[] = ["error", "warn", "info", "debug"];

/** Further lines within the same second are counted but not written. */
const maxLinesPerSecond = 400;
/** Size of the buffer for a slow reader of the log, in bytes. Text beyond it is dropped. */
const maxBufferedBytes = 1_048_576;
const flushIntervalMilliseconds = 200;
const minWriteBytes = 8_192;
/** Maximum time that the end of the process waits for the reader of the log. */
const closeTimeoutMilliseconds = 200;
const millisecondsPerSecond = 1_000;

/** Receives the text of a log. Never blocks. */
export interface LogOutput {
  readonly write: (text: string) => void;
  /** Resolves when all text is written, or when the wait for its reader timed out. Later text is dropped. */
  readonly close: () => Promise<void>;
}

/** Writes one line of key=value pairs per event and never waits for the reader. */
export class StreamLog {
  private secondStartedAt = -Infinity;
  private linesThisSecond = 0;
  private droppedLines = 0;

  private constructor(
    private readonly output: LogOutput,
    private readonly getNow: () => number,
    private readonly commonFields: Fields,
    private level: LogLevel,
  ) {}

  /**
   * Creates a log.
   * @param output - Receives the text.
   * @param getNow - Reads the monotonic clock, in milliseconds.
   * @param level - Least severe level that is written.
   * @param commonFields - Fields of every line.
   */
  static create(
    output: LogOutput,
    getNow: () => number,
    level: LogLevel,
    commonFields: Fields,
  ): StreamLog {
    return new StreamLog(output, getNow, commonFields, level);
  }

  /**
   * Sets the log level.
   * @param level - Least severe level that is written.
   */
  setLevel(level: LogLevel): void {
    this.level = level;
  }

  /**
   * Writes one event, unless the limit of lines per second is reached. Errors are always written.
   * @param level - Severity.
   * @param event - Name of the event.
   * @param fields - Fields of the event.
   */
  write(level: LogLevel, event: string, fields: Fields = {}): void {
    if (levels.indexOf(level) > levels.indexOf(this.level)) {
      return;
    }
    this.updateRateLimit();
    if (this.linesThisSecond >= maxLinesPerSecond && level !== "error") {
      this.droppedLines += 1;
      return;
    }
    this.linesThisSecond += 1;
    this.append(level, event, fields);
  }

  /**
   * Writes the buffered text and ends the log. A reader that has closed the pipe or does not read delays it only
   * briefly.
   */
  close(): Promise<void> {
    return this.output.close();
  }

  private updateRateLimit(): void {
    const now = this.getNow();
    if (now - this.secondStartedAt < millisecondsPerSecond) {
      return;
    }
    this.secondStartedAt = now;
    this.linesThisSecond = 0;
    if (this.droppedLines > 0) {
      this.append("warn", "log.dropped", { lines: this.droppedLines });
      this.droppedLines = 0;
    }
  }

  private append(level: LogLevel, event: string, fields: Fields): void {
    const at = new Date().toISOString();
    this.output.write(`${formatLine({ at, level, event, ...this.commonFields, ...fields })}\n`);
  }
}

/** Creates an output to standard output. Drops text if the reader is slow or has closed the pipe. */
export function createStandardOutput(): LogOutput {
  const { SonicBoom } = sonicBoom;
  const stream = new SonicBoom({
    fd: process.stdout.fd,
    sync: false,
    minLength: minWriteBytes,
    maxLength: maxBufferedBytes,
    periodicFlush: flushIntervalMilliseconds,
  });
  // If the reader of the log closes the pipe, the daemon must continue to run.
  stream.on("error", () => undefined);
  let isClosed = false;
  return {
    write: (text) => {
      if (!isClosed) {
        stream.write(text);
      }
    },
    // The callback of flush comes before text is written that was added during a write. flushSync
    // would retry endlessly if the reader has closed the pipe.
    close: () =>
      new Promise((resolve) => {
        isClosed = true;
        setTimeout(resolve, closeTimeoutMilliseconds);
        stream.once("close", resolve);
        stream.end();
      }),
  };
}
