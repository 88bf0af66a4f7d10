import { Args } from "@oclif/core";
import {
  formatFinding,
  getConfigurationDigest,
  parseConfiguration,
  type Configuration,
  type ConfigurationFinding,
} from "@pistachioway/kernel";
import { exitCodes } from "../exitCodes.js";
import { readTextFile } from "../files/index.js";
import { BaseCommand } from "./BaseCommand.js";

interface CheckReport {
  readonly file: string;
  readonly accepted: boolean;
  readonly digest: string;
  readonly findings: readonly ConfigurationFinding[];
}

/** Validates a configuration file with the parser that the daemons use. */
export class ConfigCheck extends BaseCommand {
  static override description =
    "Check a configuration file in the same way as the daemons, and list all errors in it.";

  static override args = {
    file: Args.string({ description: "Configuration file in TOML.", required: true }),
  };

  async run(): Promise<CheckReport> {
    const { args } = await this.parse(ConfigCheck);
    const text = await readTextFile(args.file);
    const digest = getConfigurationDigest(text);
    const result = parseConfiguration(text);
    if (result.isOk) {
      this.log(`${args.file}: accepted, ${formatSummary(result.value)}, digest ${digest}`);
      return { file: args.file, accepted: true, digest, findings: [] };
    }
    const { findings } = result.error;
    this.logFindings(args.file, findings);
    return { file: args.file, accepted: false, digest, findings };
  }

  private logFindings(file: string, findings: readonly ConfigurationFinding[]): void {
    this.raiseExitCode(exitCodes.findings);
    for (const finding of findings) {
      this.log(`${file}: ${formatFinding(finding)}`);
    }
    this.log(`${file}: refused, ${String(findings.length)} error(s)`);
  }
}

function formatSummary(configuration: Configuration): string {
  const { zones, models, engines, services, teams } = configuration;
  return [
    `generation ${String(configuration.generation)}`,
    `${String(zones.length)} zones`,
    `${String(models.length)} models`,
    `${String(engines.length)} engines`,
    `${String(services.flatMap(({ hosts }) => hosts).length)} service hosts`,
    `${String(teams.length)} teams`,
  ].join(", ");
}
