import { Args, Flags } from "@oclif/core";
import type { ConfigurationChange } from "@pistachioway/kernel";
import { diffRouting } from "../configuration/index.js";
import { exitCodes } from "../exitCodes.js";
import { readPublishedConfiguration } from "../files/index.js";
import { formatChange, toPrintable } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

interface DiffReport {
  readonly changes: readonly ConfigurationChange[];
  readonly faults: readonly string[];
}

/** Prints the differences between two published configurations, with the secret keys hashed. */
export class RouterDiff extends BaseCommand {
  static override description =
    "Show the differences between two configurations published for routers; keys are shown as hashes.";

  static override args = {
    before: Args.string({
      description: "Published configuration before the change.",
      required: true,
    }),
    after: Args.string({
      description: "Published configuration after the change.",
      required: true,
    }),
  };

  static override flags = {
    "exit-code": Flags.boolean({ description: "Exit with 1 when there are differences." }),
  };

  async run(): Promise<DiffReport> {
    const { args, flags } = await this.parse(RouterDiff);
    const before = await readPublishedConfiguration(args.before);
    const after = await readPublishedConfiguration(args.after);
    const faults = [...before.faults, ...after.faults];
    for (const fault of faults) {
      this.log(toPrintable(fault));
    }
    if (before.routing === undefined || after.routing === undefined) {
      this.raiseExitCode(exitCodes.findings);
      return { changes: [], faults };
    }
    const changes = diffRouting(before.routing, after.routing);
    if (flags["exit-code"] && changes.length > 0) {
      this.raiseExitCode(exitCodes.findings);
    }
    this.log(changes.length === 0 ? "no differences" : changes.map(formatChange).join("\n"));
    return { changes, faults };
  }
}
