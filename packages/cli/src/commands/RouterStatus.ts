import type { RouterStatus as RouterView } from "@pistachioway/kernel";
import { askDaemons } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import { formatRouters, formatUpstreams, getRouterConcerns } from "../status/index.js";
import { toPrintable } from "../text/index.js";
import { DaemonCommand, type ReportedFailure } from "./DaemonCommand.js";

interface RouterReport {
  readonly routers: readonly { readonly address: string; readonly status: RouterView }[];
  readonly concerns: readonly string[];
  readonly failures: readonly ReportedFailure[];
}

/** Shows what routers report of themselves and of the upstreams. */
export class RouterStatus extends DaemonCommand {
  static override description =
    "Show what routers report of themselves, their configuration and the upstreams.";

  async run(): Promise<RouterReport> {
    const { flags } = await this.parse(RouterStatus);
    const { answers, failures } = await askDaemons(this.getAddresses(flags.daemon), (client) =>
      client.getRouterStatus(),
    );
    const statuses = answers.map(({ value }) => value);
    const concerns = getRouterConcerns(statuses);
    if (statuses.length > 0) {
      this.logSection("Routers", formatRouters(statuses));
      this.logSection("Upstreams", formatUpstreams(statuses));
    }
    for (const concern of concerns) {
      this.log(this.palette.bad(`! ${toPrintable(concern)}`));
    }
    if (concerns.length > 0) {
      this.raiseExitCode(exitCodes.findings);
    }
    return {
      routers: answers.map(({ address, value }) => ({ address, status: value })),
      concerns,
      failures: this.reportFailures(failures),
    };
  }
}
