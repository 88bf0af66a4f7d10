import { Flags } from "@oclif/core";
import { readLogs, type LogLine } from "../logs/index.js";
import { BaseCommand } from "./BaseCommand.js";

/** Base of the commands that read the logs of daemons. */
export abstract class LogCommand extends BaseCommand {
  static override baseFlags = {
    log: Flags.string({
      description: "Log files, separated by commas.",
      required: true,
      multiple: true,
      delimiter: ",",
    }),
  };

  /** Reads the lines of log files, and warns of those that are no daemon's. */
  protected async readLines(paths: readonly string[]): Promise<readonly LogLine[]> {
    const { lines, passedOver } = await readLogs(paths);
    if (passedOver > 0 && !this.jsonEnabled()) {
      this.logToStderr(`warning: ${String(passedOver)} lines are not those of a daemon`);
    }
    return lines;
  }
}
