import type { DaemonStatus } from "@pistachioway/kernel";
import { queryDaemons } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import {
  formatDaemons,
  formatEngines,
  formatServices,
  formatTeams,
  getConcerns,
} from "../status/index.js";
import { toPrintable } from "../text/index.js";
import { DaemonCommand, type ReportedFailure } from "./DaemonCommand.js";

interface StatusReport {
  readonly daemons: readonly { readonly address: string; readonly status: DaemonStatus }[];
  readonly concerns: readonly string[];
  readonly failures: readonly ReportedFailure[];
}

/** Shows the state of the daemons, and the state of the fleet as the daemons see it. */
export class Status extends DaemonCommand {
  static override description =
    "Show the state of the daemons, the configuration in force, upstreams and teams.";

  async run(): Promise<StatusReport> {
    const { flags } = await this.parse(Status);
    const { responses, failures } = await queryDaemons(this.getAddresses(flags.daemon), (client) =>
      client.getStatus(),
    );
    const statuses = responses.map(({ value }) => value);
    const concerns = getConcerns(statuses);
    if (statuses.length > 0) {
      this.logStatuses(statuses);
      this.logConcerns(concerns);
    }
    if (statuses.some(({ refused }) => refused !== undefined)) {
      this.raiseExitCode(exitCodes.findings);
    }
    return {
      daemons: responses.map(({ address, value }) => ({ address, status: value })),
      concerns,
      failures: this.reportFailures(failures),
    };
  }

  private logStatuses(statuses: readonly DaemonStatus[]): void {
    this.logSection("Daemons", formatDaemons(statuses));
    this.logSection("Engines", formatEngines(statuses));
    this.logSection("Services", formatServices(statuses));
    this.logSection("Teams", formatTeams(statuses));
  }

  private logConcerns(concerns: readonly string[]): void {
    if (concerns.length === 0) {
      this.log(this.palette.success("nothing needs attention"));
    }
    for (const concern of concerns) {
      this.log(this.palette.warning(`! ${toPrintable(concern)}`));
    }
  }
}
