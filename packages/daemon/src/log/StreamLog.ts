import sonicBoom from "sonic-boom";
import { formatLine, type Fields, type LogLevel } from "./line.js";

const levels: readonly LogLevel[] = ["error", "warn", "info", "debug"];

/** Lines of one second beyond this number are counted and not written. */
const maxLinesPerSecond = 400;
/** Text that waits for a slow reader of the log, in bytes; what comes on top is dropped. */
const maxBufferedBytes = 1_048_576;
const flushIntervalMilliseconds = 200;
const minWriteBytes = 8_192;
/** Longest wait for the reader of the log at the end of the process. */
const closeTimeoutMilliseconds = 200;
const millisecondsPerSecond = 1_000;

/** Takes the text of a log; never blocks. */
export interface LogOutput {
  readonly write: (text: string) => void;
  /** Resolves when what waits is written, or its reader was given up on. */
  readonly flush: () => Promise<void>;
}

/** Writes one line of key=value pairs for each event, without ever waiting for the reader. */
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
   * @param output - Takes the text.
   * @param getNow - Reads the steady clock, in milliseconds.
   * @param level - Least severe level to write.
   * @param commonFields - Pairs that every line carries.
   */
  static create(
    output: LogOutput,
    getNow: () => number,
    level: LogLevel,
    commonFields: Fields,
  ): StreamLog {
    return new StreamLog(output, getNow, commonFields, level);
  }

  /** Sets the least severe level to write. */
  setLevel(level: LogLevel): void {
    this.level = level;
  }

  /**
   * Writes one event, unless the lines of this second are used up; errors are always written.
   * @param level - Severity.
   * @param event - Name of the event.
   * @param fields - Ids and values of the event.
   */
  write(level: LogLevel, event: string, fields: Fields = {}): void {
    if (levels.indexOf(level) > levels.indexOf(this.level)) {
      return;
    }
    this.resetEachSecond();
    if (this.linesThisSecond >= maxLinesPerSecond && level !== "error") {
      this.droppedLines += 1;
      return;
    }
    this.linesThisSecond += 1;
    this.append(level, event, fields);
  }

  /** Writes what still waits; a reader that is gone or stuck is not waited for. */
  close(): Promise<void> {
    return this.output.flush();
  }

  private resetEachSecond(): void {
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

/** Creates an output to standard output that drops text when its reader is slow or gone. */
export function createStandardOutput(): LogOutput {
  const { SonicBoom } = sonicBoom;
  const stream = new SonicBoom({
    fd: process.stdout.fd,
    sync: false,
    minLength: minWriteBytes,
    maxLength: maxBufferedBytes,
    periodicFlush: flushIntervalMilliseconds,
  });
  // The reader of the log may go away; that must not stop the daemon.
  stream.on("error", () => undefined);
  return {
    write: (text) => {
      stream.write(text);
    },
    // Not flushSync, which tries again without end when the reader is gone.
    flush: () =>
      new Promise((resolve) => {
        setTimeout(resolve, closeTimeoutMilliseconds);
        stream.flush(() => {
          resolve();
        });
      }),
  };
}
