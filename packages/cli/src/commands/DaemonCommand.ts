import { Flags } from "@oclif/core";
import type { DaemonFailure } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import { Palette, toPrintable } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

/** A failure as the JSON output shows it. */
export interface ReportedFailure {
  readonly address: string;
  readonly code: string;
  readonly message: string;
}

/** Base of the commands that ask daemons. */
export abstract class DaemonCommand extends BaseCommand {
  static override baseFlags = {
    daemon: Flags.string({
      description:
        "Address and port of a daemon's operations listener; may be repeated. Without it, the " +
        "comma-separated addresses in PISTACHIOWAY_DAEMONS are used.",
      delimiter: ",",
      multiple: true,
    }),
  };

  protected readonly palette = Palette.create(process.stdout.isTTY, process.env);

  /** Gets the addresses to ask: those of the flag, or else those of the environment. */
  protected getAddresses(flagAddresses: readonly string[] | undefined): readonly string[] {
    return flagAddresses ?? splitAddresses(process.env.PISTACHIOWAY_DAEMONS ?? "");
  }

  /** Prints which daemons failed, raises the exit code and returns them for the JSON output. */
  protected reportFailures(failures: readonly DaemonFailure[]): ReportedFailure[] {
    for (const failure of failures) {
      this.raiseExitCode(exitCodes.unreachable);
      if (!this.jsonEnabled()) {
        this.logToStderr(`error: ${toPrintable(failure.message)}`);
      }
    }
    return failures.map(({ address, code, message }) => ({ address, code, message }));
  }

  /** Prints a section: a heading and the text below it. */
  protected logSection(heading: string, text: string): void {
    this.log(`${this.palette.heading(heading)}\n${text}\n`);
  }
}

function splitAddresses(text: string): string[] {
  const addresses = text.split(",").map((address) => address.trim());
  return addresses.filter((address) => address !== "");
}
