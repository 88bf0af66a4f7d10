import { Flags } from "@oclif/core";
import type { DaemonFailure } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import { Palette, toPrintable } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

/** A daemon that could not be queried, as printed in the JSON output. */
export interface ReportedFailure {
  readonly address: string;
  readonly code: string;
  readonly message: string;
}

/** Base class of the commands that query daemons. */
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

  /** Gets the addresses to query: those of the flag, otherwise those in PISTACHIOWAY_DAEMONS. */
  protected getAddresses(flagAddresses: readonly string[] | undefined): readonly string[] {
    return flagAddresses ?? splitAddresses(process.env.PISTACHIOWAY_DAEMONS ?? "");
  }

  /** Prints the failures, sets the exit code and returns the failures for the JSON output. */
  protected reportFailures(failures: readonly DaemonFailure[]): ReportedFailure[] {
    for (const failure of failures) {
      this.raiseExitCode(exitCodes.unreachable);
      if (!this.jsonEnabled()) {
        this.logToStderr(`error: ${toPrintable(failure.message)}`);
      }
    }
    return failures.map(({ address, code, message }) => ({ address, code, message }));
  }

  /** Prints a heading and the text below it. */
  protected logSection(heading: string, text: string): void {
    this.log(`${this.palette.heading(heading)}\n${text}\n`);
  }
}

function splitAddresses(text: string): string[] {
  const addresses = text.split(",").map((address) => address.trim());
  return addresses.filter((address) => address !== "");
}
