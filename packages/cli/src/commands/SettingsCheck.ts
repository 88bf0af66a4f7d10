import { Args } from "@oclif/core";
import type { RouterSettings, Settings, SettingsIssue } from "@pistachioway/daemon";
import { exitCodes } from "../exitCodes.js";
import { readTextFile } from "../files/index.js";
import { toPrintable } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

interface SettingsReport {
  readonly file: string;
  readonly accepted: boolean;
  readonly issues: readonly SettingsIssue[];
}

/** Validates the settings file of a daemon or router without starting it. */
export class SettingsCheck extends BaseCommand {
  static override description =
    "Check the settings file of a daemon without starting it, and list all errors in it.";

  static override args = {
    file: Args.string({ description: "Settings file in TOML.", required: true }),
  };

  async run(): Promise<SettingsReport> {
    const { args } = await this.parse(SettingsCheck);
    const text = await readTextFile(args.file);
    // Imported on demand, so that the other commands don't load the daemon's libraries.
    const { isRouterSettings, parseRouterSettings, parseSettings } =
      await import("@pistachioway/daemon");
    const result = isRouterSettings(text)
      ? parseRouterSettings(text, args.file).map(formatRouterSummary)
      : parseSettings(text, args.file).map(formatSummary);
    if (result.isOk) {
      this.log(`${args.file}: accepted, ${result.value}`);
      return { file: args.file, accepted: true, issues: [] };
    }
    this.raiseExitCode(exitCodes.findings);
    const { issues, message } = result.error;
    this.log(message.split("\n").map(toPrintable).join("\n"));
    this.log(`${args.file}: refused, ${String(issues.length)} error(s)`);
    return { file: args.file, accepted: false, issues };
  }
}

function formatRouterSummary({ process: { name, zone }, registry }: RouterSettings): string {
  return `router ${name} in zone ${zone}, registry at ${registry.address}`;
}

function formatSummary({ process: { name, zone }, platform }: Settings): string {
  return `host ${name} in zone ${zone}, platform at ${platform.address}`;
}
