import { Args } from "@oclif/core";
import { exitCodes } from "../exitCodes.js";
import { readPublishedConfiguration } from "../files/index.js";
import { toPrintable } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

interface CheckReport {
  readonly file: string;
  /** False when routers would reject the whole file. */
  readonly isReadable: boolean;
  readonly version: number | null;
  readonly faults: readonly string[];
}

/** Validates a published configuration with the decoder that the routers use. */
export class RouterCheck extends BaseCommand {
  static override description =
    "Check a configuration published for routers, and list the entries that they would ignore.";

  static override args = {
    file: Args.string({ description: "Published configuration in JSON.", required: true }),
  };

  async run(): Promise<CheckReport> {
    const { file } = (await this.parse(RouterCheck)).args;
    const { routing, faults } = await readPublishedConfiguration(file);
    for (const fault of faults) {
      this.log(toPrintable(`${file}: ${fault}`));
    }
    if (faults.length > 0) {
      this.raiseExitCode(exitCodes.findings);
    }
    if (routing === undefined) {
      this.log(`${file}: refused`);
      return { file, isReadable: false, version: null, faults };
    }
    const { version, routes, services, teams } = routing;
    const sizes =
      `version ${String(version)}, ${String(routes.length)} routes, ` +
      `${String(services.length)} services, ${String(teams?.length ?? 0)} teams`;
    this.log(`${file}: accepted, ${sizes}, ${String(faults.length)} fault(s)`);
    return { file, isReadable: true, version, faults };
  }
}
