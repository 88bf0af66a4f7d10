import { Flags } from "@oclif/core";
import { readLogs, type LogLine } from "../logs/index.js";
import { BaseCommand } from "./BaseCommand.js";

/** Base class of the commands that read the log files of daemons. */
export abstract class LogCommand extends BaseCommand {
  static override baseFlags = {
    log: Flags.string({
      description: "Log files, separated by commas.",
      required: true,
      multiple: true,
      delimiter: ",",
    }),
  };

  /** Reads log files, and prints how many lines were skipped because no daemon wrote them. */
  protected async readLines(paths: readonly string[]): Promise<readonly LogLine[]> {
    const { lines, passedOver } = await readLogs(paths);
    if (passedOver > 0 && !this.jsonEnabled()) {
      this.logToStderr(`warning: ${String(passedOver)} lines skipped, not daemon log lines`);
    }
    return lines;
  }
}
