import { Args, Flags } from "@oclif/core";
import {
  getRoutingWarnings,
  type ConfigurationChange,
  type Routing,
  type RoutingWarning,
} from "@pistachioway/kernel";
import { diffRouting } from "../configuration/index.js";
import { queryDaemons } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import { readPublishedConfiguration } from "../files/index.js";
import { formatChange, toPrintable } from "../text/index.js";
import { BaseCommand } from "./BaseCommand.js";

interface CheckReport {
  readonly file: string;
  /** False when routers would reject the whole file. */
  readonly isReadable: boolean;
  readonly version: number | null;
  /** Entries that routers would ignore or could not serve. */
  readonly faults: readonly string[];
  readonly warnings: readonly RoutingWarning[];
  /** Version in force at the queried router; null when none was queried, or it did not answer. */
  readonly versionInForce: number | null;
  /** Differences from that version. */
  readonly changes: readonly ConfigurationChange[];
}

type VersionComparison = Pick<CheckReport, "versionInForce" | "changes">;

const noComparison: VersionComparison = { versionInForce: null, changes: [] };

/** Validates a configuration before it is published, with the decoder that the routers use. */
export class RouterCheck extends BaseCommand {
  static override description =
    "Check a configuration for routers before it is published: errors, entries that no request can match, " +
    "limits that contradict each other, and the differences from the version in force.";

  static override args = {
    file: Args.string({ description: "Published configuration in JSON.", required: true }),
  };

  static override flags = {
    daemon: Flags.string({
      description:
        "Address and port of a router's operations listener, to compare with its version.",
    }),
  };

  async run(): Promise<CheckReport> {
    const { args, flags } = await this.parse(RouterCheck);
    const { file } = args;
    const { routing, faults } = await readPublishedConfiguration(file);
    this.logFindings(file, faults);
    if (faults.length > 0) {
      this.raiseExitCode(exitCodes.findings);
    }
    if (routing === undefined) {
      this.log(`${file}: refused`);
      return { file, isReadable: false, version: null, faults, warnings: [], ...noComparison };
    }
    const warnings = getRoutingWarnings(routing);
    this.logFindings(
      file,
      warnings.map(({ kind, detail }) => `${kind}: ${detail}`),
    );
    this.logSummary(file, routing, faults.length);
    const comparison = await this.compare(file, routing, flags.daemon);
    return { file, isReadable: true, version: routing.version, faults, warnings, ...comparison };
  }

  private logFindings(file: string, findings: readonly string[]): void {
    for (const finding of findings) {
      this.log(toPrintable(`${file}: ${finding}`));
    }
  }

  private logSummary(file: string, routing: Routing, faultCount: number): void {
    const { version, routes, services, teams } = routing;
    const sizes =
      `version ${String(version)}, ${String(routes.length)} routes, ` +
      `${String(services.length)} services, ${String(teams?.length ?? 0)} teams`;
    this.log(`${file}: accepted, ${sizes}, ${String(faultCount)} fault(s)`);
  }

  /** Compares with the version that a router has in force, which ignores one that is not higher. */
  private async compare(
    file: string,
    routing: Routing,
    daemon: string | undefined,
  ): Promise<VersionComparison> {
    if (daemon === undefined) {
      return noComparison;
    }
    const query = await queryDaemons([daemon], (client) => client.getRouting());
    const inForce = query.responses[0]?.value;
    if (inForce === undefined) {
      this.raiseExitCode(exitCodes.unreachable);
      query.failures.forEach(({ message }) => {
        this.logToStderr(`error: ${toPrintable(message)}`);
      });
      return noComparison;
    }
    if (routing.version <= inForce.version) {
      this.raiseExitCode(exitCodes.findings);
      const versions = `${String(routing.version)} is not higher than ${String(inForce.version)}`;
      this.log(`${file}: ignored by routers, since version ${versions}, which is in force`);
    }
    const changes = diffRouting(inForce, routing);
    this.log(changes.length === 0 ? "no differences" : changes.map(formatChange).join("\n"));
    return { versionInForce: inForce.version, changes };
  }
}
