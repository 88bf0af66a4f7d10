import { Args, Flags } from "@oclif/core";
import {
  diffConfigurations,
  formatFinding,
  parseConfiguration,
  type Configuration,
  type ConfigurationChange,
  type ConfigurationFinding,
} from "@pistachioway/kernel";
import { exitCodes } from "../exitCodes.js";
import { readTextFile } from "../files/index.js";
import { formatChange } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

interface RefusedFile {
  readonly file: string;
  readonly findings: readonly ConfigurationFinding[];
}

interface DiffReport {
  readonly changes: readonly ConfigurationChange[];
  readonly refused: readonly RefusedFile[];
}

/** Prints the differences between two configuration files. */
export class ConfigDiff extends BaseCommand {
  static override description =
    "Show the differences between two configuration files; items are matched by name.";

  static override args = {
    before: Args.string({ description: "Configuration file before the change.", required: true }),
    after: Args.string({ description: "Configuration file after the change.", required: true }),
  };

  static override flags = {
    "exit-code": Flags.boolean({ description: "Exit with 1 when there are differences." }),
  };

  async run(): Promise<DiffReport> {
    const { args, flags } = await this.parse(ConfigDiff);
    const refused: RefusedFile[] = [];
    const before = await this.readConfiguration(args.before, refused);
    const after = await this.readConfiguration(args.after, refused);
    if (before === undefined || after === undefined) {
      this.raiseExitCode(exitCodes.findings);
      return { changes: [], refused };
    }
    const changes = diffConfigurations(before, after);
    if (flags["exit-code"] && changes.length > 0) {
      this.raiseExitCode(exitCodes.findings);
    }
    this.log(changes.length === 0 ? "no differences" : changes.map(formatChange).join("\n"));
    return { changes, refused };
  }

  private async readConfiguration(
    file: string,
    refused: RefusedFile[],
  ): Promise<Configuration | undefined> {
    const result = parseConfiguration(await readTextFile(file));
    if (result.isOk) {
      return result.value;
    }
    const { findings } = result.error;
    refused.push({ file, findings });
    for (const finding of findings) {
      this.log(`${file}: ${formatFinding(finding)}`);
    }
    return undefined;
  }
}
