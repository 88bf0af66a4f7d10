import type { RouterStatus as RouterStatusReport } from "@pistachioway/kernel";
import { queryDaemons } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import { formatRouters, formatUpstreams, getRouterConcerns } from "../status/index.js";
import { toPrintable } from "../text/index.js";
import { DaemonCommand, type ReportedFailure } from "./DaemonCommand.js";

interface RouterReport {
  readonly routers: readonly { readonly address: string; readonly status: RouterStatusReport }[];
  readonly concerns: readonly string[];
  readonly failures: readonly ReportedFailure[];
}

/** Shows the state of the routers, and the state of the upstreams as the routers see it. */
export class RouterStatus extends DaemonCommand {
  static override description = "Show the state of routers, their configuration and the upstreams.";

  async run(): Promise<RouterReport> {
    const { flags } = await this.parse(RouterStatus);
    const { responses, failures } = await queryDaemons(this.getAddresses(flags.daemon), (client) =>
      client.getRouterStatus(),
    );
    const statuses = responses.map(({ value }) => value);
    const concerns = getRouterConcerns(statuses);
    if (statuses.length > 0) {
      this.logSection("Routers", formatRouters(statuses));
      this.logSection("Upstreams", formatUpstreams(statuses));
    }
    for (const concern of concerns) {
      this.log(this.palette.warning(`! ${toPrintable(concern)}`));
    }
    if (concerns.length > 0) {
      this.raiseExitCode(exitCodes.findings);
    }
    return {
      routers: responses.map(({ address, value }) => ({ address, status: value })),
      concerns,
      failures: this.reportFailures(failures),
    };
  }
}
